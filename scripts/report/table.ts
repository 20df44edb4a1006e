import type {Result} from './results.ts';

const significantDigits = 4;

/** Formats results as a Markdown table. */
export function formatTable(results: readonly Result[]): string {
	const rows = results.map(result => [
		result.name,
		`${formatNumber(result.value)} ${result.unit}`,
		formatNumber(result.baseline),
		formatNumber(result.bound),
		formatVerdict(result),
	]);
	return [
		'| measure | value | baseline | bound | met |',
		'| --- | --- | --- | --- | --- |',
		...rows.map(cells => `| ${cells.join(' | ')} |`),
	].join('\n');
}

function formatVerdict({bound, ok}: Result): string {
	if (bound === undefined) {
		return '-';
	}

	return ok ? 'yes' : '**no**';
}

function formatNumber(value: number | undefined): string {
	return value === undefined ? '-' : String(Number(value.toPrecision(significantDigits)));
}
