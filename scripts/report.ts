/**
Updates the table in `docs/measurements.md` and the plots in `docs/plots` from a file with the JSON lines of `npm run bench`.
*/
import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {drawPlot, plots} from './report/plot.ts';
import {parseResults} from './report/results.ts';
import {formatTable} from './report/table.ts';

const page = new URL('../docs/measurements.md', import.meta.url);
const tablePattern = /<!-- table -->.*<!-- end of table -->/sv;

const [file] = process.argv.slice(2);
if (file === undefined) {
	throw new Error('Usage: npm run report -- FILE, where FILE contains the output of npm run bench.');
}

const results = parseResults(await readFile(file, 'utf8'));
const text = await readFile(page, 'utf8');
await writeFile(page, text.replace(tablePattern, () => `<!-- table -->\n${formatTable(results)}\n<!-- end of table -->`));
for (const plot of plots) {
	await writeFile(new URL(`../docs/plots/${plot.file}`, import.meta.url), await drawPlot(plot, results));
}

console.log(`Wrote ${results.length} rows and ${plots.length} plots.`);
