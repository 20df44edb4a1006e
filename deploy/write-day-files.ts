import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {createPlannedDays, createRestoredDays, createUnplannedDays} from './day-files.ts';

for (const {name, text} of [...createPlannedDays(), ...createUnplannedDays(), ...createRestoredDays()]) {
	writeFileSync(path.join(import.meta.dirname, 'days', `${name}.toml`), text);
	console.log(`deploy/days/${name}.toml`);
}
