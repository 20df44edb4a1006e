import {parse, View} from 'vega';
import {compile, type TopLevelSpec} from 'vega-lite';
import type {Result} from './results.ts';

/** A plot of the results whose names match `pattern`. */
export type Plot = {
	readonly file: string;
	readonly title: string;
	readonly pattern: RegExp;
};

/** All plots of the report. */
export const plots: readonly Plot[] = [
	{file: 'goodput-through-shifts.svg', title: 'M1: goodput through shifts', pattern: /^M1 .* goodput/v},
	{file: 'crest-and-overload.svg', title: 'M2: crest and overload, part on time or of the peak', pattern: /^M2 .*(?:crest|goodput)/v},
	{file: 'head-of-line.svg', title: 'M3: p99 of short work with long jobs, relative to without', pattern: /^M3 /v},
	{file: 'stragglers.svg', title: 'M4: p99 with slowed replicas, relative to none slowed', pattern: /^M4 .* p99$/v},
	{file: 'control-bytes.svg', title: 'Control traffic of the busiest daemon, bytes a second', pattern: /^control bytes of the busiest/v},
];

const widthPx = 420;

/** Renders the values as bars and their bounds as tick marks; returns SVG text. */
export async function drawPlot({title, pattern}: Plot, results: readonly Result[]): Promise<string> {
	const values = results.filter(({name}) => pattern.test(name)).map(({name, value, bound}) => ({name, value, bound}));
	const order = values.map(({name}) => name);
	const y = {
		field: 'name', type: 'nominal', title: null, sort: order, axis: {labelLimit: 400},
	} as const;
	const specification: TopLevelSpec = {
		title,
		width: widthPx,
		data: {values},
		layer: [
			{mark: {type: 'bar', color: '#4c78a8'}, encoding: {x: {field: 'value', type: 'quantitative', title: 'value (bars) and bound (marks)'}, y}},
			{mark: {type: 'tick', color: '#d62728', thickness: 2}, encoding: {x: {field: 'bound', type: 'quantitative'}, y}},
		],
	};
	const view = new View(parse(compile(specification).spec), {renderer: 'none'});
	return view.toSVG();
}
