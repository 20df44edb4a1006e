import {LoadTable} from '../../src/process/load/load-table.ts';
import {SeededRandom} from '../../src/process/random.ts';
import {measureHeap, measureTime} from './resources.ts';
import type {SlopeMeasure} from './slope.ts';

/** Upstreams that one daemon routes to at the design size: those of one of 12 availability zones. */
const designUpstreams = 1000;
const models = 17;
const zones = 12;
const outputTokens = 350;
const promptTokens = 1000;
const seed = 61;

/** Heap and processor time of routing in one daemon. */
export const routingSlopes: readonly SlopeMeasure[] = [
	{
		name: 'load table heap',
		costUnit: 'B',
		sizeUnit: 'upstreams',
		sizes: [250, 1000, 4000],
		designSize: designUpstreams,
		measure: size => measureHeap(() => createLoads(size)),
	},
	{
		name: 'processor time to route a request and count its load',
		costUnit: 'µs',
		sizeUnit: 'upstreams',
		sizes: [250, 1000, 4000],
		designSize: designUpstreams,
		measure(size) {
			const loads = createLoads(size);
			let count = 0;
			return measureTime(() => {
				count += 1;
				routeOne(loads, count);
			}, {rounds: 7, calls: 5000});
		},
	},
];

function createLoads(size: number): LoadTable {
	const loads = new LoadTable({availabilityZone: 'zone-0', random: new SeededRandom(seed)});
	loads.setUpstreams(0, Array.from({length: size}, (_, index) => ({
		id: `engine-${index}`, availabilityZone: `zone-${index % zones}`, group: `model-${index % models}`,
	})));
	return loads;
}

function routeOne(loads: LoadTable, count: number): void {
	const now = count * 0.2;
	const request = {promptTokens, outputTokens, group: `model-${count % models}`};
	const upstream = loads.choose(now, request);
	if (upstream !== undefined) {
		const attempt = String(count);
		loads.start(now, attempt, upstream, request);
		loads.firstToken(now, attempt, upstream, 1);
		loads.finish(now, attempt, upstream);
	}
}
