import {setTimeout as delay} from 'node:timers/promises';
import {SeededRandom} from '../../src/process/random.ts';
import {createChangedConfiguration} from './changed-configuration.ts';
import type {ChangeKind, Fault} from './fault-schedule.ts';
import type {SoakDeployment} from './soak-deployment.ts';

const configurationIntervalsMs = [60, 250, 700] as const;
const maxStandstillMs = 3000;
const stopIntervalsMs = [0, 400, 1500] as const;
const oddEntriesAtOnce = 4;
/** Depth of nesting at which recursive code runs out of stack. */
const nestingDepth = 20_000;

const entry = {
	service: 'desk', address: '127.0.0.1:9', zone: 'zone-a', version: 'v1', slots: 6, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: 1000,
};
const nested = `${'['.repeat(nestingDepth)}${']'.repeat(nestingDepth)}`;

/** Entries of another writer that name no upstream, as the store holds them. */
const oddEntries: readonly string[] = [
	JSON.stringify({...entry, address: '127.0.0.1:65536'}),
	JSON.stringify({
		...entry, address: '127.0.0.1:99999', stage: 'decode', service: 'model', models: [{name: 'm', version: 1, adapters: []}],
	}),
	JSON.stringify({...entry, address: '127.0.0.1:0'}),
	JSON.stringify({...entry, address: '999.0.0.1:80'}),
	JSON.stringify({...entry, address: 'localhost:80'}),
	JSON.stringify({...entry, slots: 1e300}),
	JSON.stringify({...entry, slots: -1}),
	JSON.stringify({...entry, sequence: 1e300, born: 1e300}),
	JSON.stringify({...entry, sequence: 1, born: -1.5}),
	JSON.stringify({...entry, state: 'resting'}),
	JSON.stringify({...entry, zone: {}, models: 3}),
	JSON.stringify(entry).replace('"slots":6', '"slots":1e999'),
	JSON.stringify(entry).replace('"slots":6', `"slots":6,"models":${nested}`),
	JSON.stringify(entry).replace('"service":"desk"', `"service":${nested}`),
	nested,
	'null',
	'\u0000\uFFFD{',
];

/** Applies a change, and returns when it is over. */
export async function applyChange(deployment: SoakDeployment, {kind, forMs, target, variant}: Fault<ChangeKind>): Promise<void> {
	const random = new SeededRandom(target);
	switch (kind) {
		case 'configurationSeries': {
			const end = performance.now() + forMs;
			await deployment.withLongWork(async () => {
				while (performance.now() < end) {
					deployment.configure(version => createChangedConfiguration(version, random));
					await delay(configurationIntervalsMs[variant]);
				}
			});
			break;
		}

		case 'upstreamStandstill': {
			const {proxy} = deployment.upstreams[target % deployment.upstreams.length]!;
			proxy.pause();
			await delay(Math.min(forMs, maxStandstillMs));
			proxy.resume();
			break;
		}

		case 'oddEntries': {
			const names = Array.from({length: oddEntriesAtOnce}, (_, index) => `odd-${target}-${index}`);
			for (const name of names) {
				deployment.store.put('servers', name, oddEntries[random.integer(oddEntries.length)]);
			}

			await delay(forMs);
			for (const name of names) {
				deployment.store.remove('servers', name);
			}

			break;
		}

		case 'daemonStops': {
			// Half of the daemons, so that the others serve.
			const count = Math.ceil(deployment.daemons.length / 2);
			await Promise.all(Array.from({length: count}, async (_, index) => {
				await delay(index * stopIntervalsMs[variant]!);
				await deployment.stopAndRestart((target + index) % deployment.daemons.length, 'SIGTERM');
			}));
			break;
		}
	}
}
