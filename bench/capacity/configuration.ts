import {create, toBinary} from '@bufbuild/protobuf';
import {PullChangesResponseSchema} from '../../src/generated/peer_pb.js';
import {ConfigurationMachine} from '../../src/process/configuration/configuration-machine.ts';
import type {ConfigurationDifference, ConfigurationEntry} from '../../src/version/configuration.ts';
import {measureHeap, measureTime} from './resources.ts';
import type {SlopeMeasure} from './slope.ts';

const customers = 10_000;
const changesPerDay = 49_000;
const secondsPerDay = 86_400;
/** Approximate length of a contract with two classes and four routes as JSON. */
const contractCharacters = 600;

/** Heap, processor time and transfer size of the configuration in one daemon. */
export const configurationSlopes: readonly SlopeMeasure[] = [
	{
		name: 'configuration heap',
		costUnit: 'B',
		sizeUnit: 'contracts',
		sizes: [1000, 5000, 20_000],
		designSize: customers,
		measure: size => measureHeap(() => createMachine(size)),
	},
	{
		name: 'processor time to apply differences of one change',
		costUnit: 'µs',
		sizeUnit: 'contracts held',
		sizes: [1000, 5000, 20_000],
		designSize: customers,
		measure(size) {
			const machine = createMachine(size);
			let version = size;
			return measureTime(() => {
				version += 1;
				machine.accept({version, snapshot: false, entries: [createEntry(version % size, version)]}, version - 1);
			}, {rounds: 7, calls: 1000});
		},
	},
	{
		name: 'processor time to answer a pull of one change',
		costUnit: 'µs',
		sizeUnit: 'contracts held',
		sizes: [1000, 5000, 20_000],
		designSize: customers,
		measure(size) {
			const machine = createMachine(size);
			return measureTime(() => machine.differenceSince(size - 1), {rounds: 5, calls: 20});
		},
	},
	{
		name: 'bytes of differences pulled from a peer',
		costUnit: 'B/s',
		sizeUnit: 'changes a second',
		sizes: [1, 10, 100],
		designSize: changesPerDay / secondsPerDay,
		measure: size => encodeDifference({
			version: size, snapshot: false, entries: Array.from({length: size}, (_, index) => createEntry(index, index + 1)),
		}),
	},
];

function createMachine(size: number): ConfigurationMachine {
	const machine = new ConfigurationMachine();
	const entries = Array.from({length: size}, (_, index) => createEntry(index, index + 1));
	machine.accept({version: size, snapshot: true, entries}, 0);
	return machine;
}

function createEntry(index: number, version: number): ConfigurationEntry {
	// Repeated text would share memory on the heap, so each body is decoded from its own buffer.
	const body = new TextDecoder().decode(new TextEncoder().encode(`{"customer":"customer-${index}","text":"${'x'.repeat(contractCharacters)}"}`));
	return {
		kind: 'contract', name: `customer-${index}`, version, body,
	};
}

function encodeDifference({version, snapshot, entries}: ConfigurationDifference): number {
	const message = create(PullChangesResponseSchema, {
		version: BigInt(version), snapshot, entries: entries.map(entry => ({...entry, version: BigInt(entry.version)})),
	});
	return toBinary(PullChangesResponseSchema, message).length;
}
