import {readFileSync} from 'node:fs';
import path from 'node:path';
import {describe, expect, test} from 'vitest';
import {
	createPlannedDays, createRestoredDays, createUnplannedDays, findVariants, plannedKinds, unplannedKinds, type DayFile,
} from '../../deploy/day-files.ts';

const daysFolder = path.join(import.meta.dirname, '../../deploy/days');
/** Shortest time for which a configuration counts as planned work after it was sent, in seconds. */
const changeWindowS = 3;

type Entry = {readonly at: number; readonly kind: string; readonly fields: string};

function readEntries({text}: DayFile, key: 'plan' | 'faults'): readonly Entry[] {
	const block = new RegExp(String.raw`^${key} = \[\n(?<entries>[\s\S]*?)^\]`, 'mv').exec(text)?.groups?.entries ?? '';
	return [...block.matchAll(/\{ at = (?<at>[\d.]+), kind = "(?<kind>\w+)"(?<fields>.*) \},/gv)]
		.map(({groups}) => ({at: Number(groups?.at), kind: groups?.kind ?? '', fields: groups?.fields ?? ''}));
}

/** Unplanned disruptions within two seconds after a change of the configuration. */
function findBesideChange(day: DayFile): readonly Entry[] {
	const changes = readEntries(day, 'plan').filter(({kind}) => kind === 'config_change');
	return readEntries(day, 'faults').filter(({at}) => changes.some(change => at >= change.at && at - change.at < 2));
}

describe('the day files', () => {
	test('overlap each pair of kinds of planned work, without any other disruption', () => {
		const pairs = new Set<string>();
		for (const day of createPlannedDays()) {
			const entries = readEntries(day, 'plan');
			expect(readEntries(day, 'faults')).toEqual([]);
			for (const first of entries) {
				for (const second of entries.filter(({at, kind}) => kind !== first.kind && Math.abs(at - first.at) < changeWindowS)) {
					pairs.add([first.kind, second.kind].toSorted().join(' '));
				}
			}
		}

		expect(pairs.size).toBe(plannedKinds.length * (plannedKinds.length - 1) / 2);
	});

	test('contain each variant of planned work', () => {
		const entries = createPlannedDays().flatMap(day => readEntries(day, 'plan'));
		for (const kind of plannedKinds) {
			expect(new Set(entries.filter(entry => entry.kind === kind).map(({fields}) => fields)).size).toBe(findVariants(kind).length);
		}
	});

	test('bring each variant of each other kind within two seconds after a change of the configuration', () => {
		const seen = createUnplannedDays().flatMap(day => findBesideChange(day));
		for (const kind of unplannedKinds) {
			expect(seen.filter(entry => entry.kind === kind)).toHaveLength(findVariants(kind).length);
		}
	});

	test('contain each kind of final fault', () => {
		const kinds = createUnplannedDays().map(({text}) => /^closing = \{ kind = "(?<kind>\w+)"/mv.exec(text)?.groups?.kind);
		expect(new Set(kinds.filter(kind => kind !== undefined))).toEqual(new Set(['kill_all', 'power_off_all', 'wipe_after_ack']));
	});

	test('restore the store from copies that lack each kind of planned work, and follow each kind of planned work upon a return', () => {
		const seen = {lost: new Set<string>(), after: new Set<string>()};
		for (const day of createRestoredDays()) {
			const restores = readEntries(day, 'faults').filter(({kind, fields}) => kind === 'platform_down' && fields.includes('how = "restored"'));
			expect(restores).toHaveLength(2);
			for (const {kind, at} of readEntries(day, 'plan')) {
				if (restores.some(restore => at < restore.at && restore.at - at <= 6)) {
					seen.lost.add(kind);
				} else {
					seen.after.add(kind);
				}
			}
		}

		expect([...seen.lost].toSorted()).toEqual(plannedKinds.toSorted());
		expect([...seen.after].toSorted()).toEqual(plannedKinds.toSorted());
	});

	test('are committed as they are written', () => {
		for (const {name, text} of [...createPlannedDays(), ...createUnplannedDays(), ...createRestoredDays()]) {
			expect(readFileSync(path.join(daysFolder, `${name}.toml`), 'utf8')).toBe(text);
		}
	});

	test('are refused with the name of a kind that is unknown', () => {
		expect(() => createPlannedDays([['config_change', 'srv_meltdown']])).toThrow('Unknown kind of disruption: srv_meltdown.');
		expect(() => createUnplannedDays([['srv_meltdown']])).toThrow('Unknown kind of disruption: srv_meltdown.');
	});
});
