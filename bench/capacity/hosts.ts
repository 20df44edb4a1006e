import type {Host} from '../../src/ports/host-list.ts';
import {UpstreamDirectory} from '../../src/process/upstream-directory.ts';
import {toTargetGroup} from '../../src/stand-ins/hosts/hosts-server.ts';
import {measureHeap, measureTime} from './resources.ts';
import type {SlopeMeasure} from './slope.ts';

const designHosts = 12_420;
const models = 17;
const zones = 12;

/** Size, heap and indexing time of the host list in one daemon. */
export const hostSlopes: readonly SlopeMeasure[] = [
	{
		name: 'bytes of a changed host list',
		costUnit: 'B',
		sizeUnit: 'hosts',
		sizes: [100, 1000, 12_000],
		designSize: designHosts,
		measure: size => JSON.stringify(createHosts(size).map(host => toTargetGroup(host))).length,
	},
	{
		name: 'host list heap',
		costUnit: 'B',
		sizeUnit: 'hosts',
		sizes: [100, 1000, 12_000],
		designSize: designHosts,
		measure: size => measureHeap(() => createHosts(size)),
	},
	{
		name: 'processor time to index a changed host list',
		costUnit: 'µs',
		sizeUnit: 'hosts',
		sizes: [100, 1000, 12_000],
		designSize: designHosts,
		measure(size) {
			const lists = [createHosts(size), createHosts(size)] as const;
			let turn = 0;
			const directory = new UpstreamDirectory({
				hosts: () => lists[turn % 2]!, isLeaving: () => false, isZoneDead: () => false, leavingVersion: () => 0,
			});
			return measureTime(() => {
				turn += 1;
				return directory.eligibleUpstreams({
					kind: 'model', model: 'model-0', path: '/', stream: false,
				});
			}, {rounds: 7, calls: 5});
		},
	},
];

function createHosts(size: number): readonly Host[] {
	return Array.from({length: size}, (_, index) => ({
		kind: 'engine',
		id: `engine-${index}`,
		address: `10.0.${Math.floor(index / 250)}.${index % 250}:8000`,
		availabilityZone: `zone-${index % zones}`,
		state: 'live',
		serves: `model-${index % models}`,
		enforcesFencing: true,
	}));
}
