/* eslint-disable no-await-in-loop, no-unmodified-loop-condition -- The fields are those of the platform; steps of a case follow each other. */
import {Daemon} from '../stand-ins-2/daemon.mjs';
import {createRoute, runCase} from '../stand-ins-2/deployment.mjs';
import {sleep} from '../stand-ins-2/net.mjs';
import {Replica} from '../stand-ins-2/replica.mjs';

/** Time for which the replica wants nothing, in seconds. */
const pauseS = 20;
/** Time for which the replica's entries do not reach the store; the store removes the entry after three heartbeats. */
const cutMs = 5000;
const removedAfterMs = 3600;
const requestsPerSecond = 40;
const allowed = 2;

await runCase(import.meta.dirname, async (deployment, recording, isTroubled) => {
	let pausedAt;
	const busy = new Replica({
		id: 'i-1',
		service: 'order',
		async answer({id}, response) {
			if (pausedAt !== undefined) {
				return false;
			}

			pausedAt = performance.now();
			response.writeHead(503, {'x-request-id': id, 'x-not-executed': '1', 'retry-after': String(pauseS)}).end();
			recording.add(`replica i-1: answered ${id} with 503 and Retry-After: ${pauseS}`);
			return true;
		},
	});
	const others = ['i-2', 'i-3', 'i-4', 'i-5'].map(id => new Replica({id, service: 'order'}));
	await deployment.start({routes: [createRoute('idempotent', 'order')], replicas: [busy, ...others]});
	await deployment.startDaemons([new Daemon({store: deployment.store.address})]);
	const [daemon] = deployment.daemons;
	const statuses = new Map();
	let sent = 0;
	const send = async () => {
		sent += 1;
		const {status} = await deployment.send(daemon, {url: `/order/${sent}`, id: `look-${sent}`, headers: {'x-deadline-ms': '2500'}});
		statuses.set(status, (statuses.get(status) ?? 0) + 1);
	};

	const timer = setInterval(send, 1000 / requestsPerSecond);
	while (pausedAt === undefined) {
		await sleep(10);
	}

	await sleep(2000);
	if (isTroubled) {
		recording.add('replica i-1: its entries no longer reach the store; it goes on serving');
		deployment.cutReplicas.add(busy);
		await sleep(removedAfterMs);
		deployment.store.put('servers', busy.id, undefined);
		recording.add('store: removed the entry of i-1 after three heartbeats');
		await sleep(cutMs - removedAfterMs);
		deployment.cutReplicas.delete(busy);
		deployment.register();
		recording.add('replica i-1: its entry is back, of the same start');
	}

	await sleep(pausedAt + (pauseS * 1000) - performance.now());
	clearInterval(timer);
	await sleep(500);
	const early = busy.arrivals.filter(({at}) => at > pausedAt + 500 && at < pausedAt + (pauseS * 1000));
	for (const {at, id} of early) {
		recording.add(`replica i-1: ${id} arrived ${Math.round(at - pausedAt)} ms after the 503`);
	}

	recording.add(`clients: ${sent} requests, answered ${JSON.stringify(Object.fromEntries(statuses))}`);
	return early.length > allowed ? [`BUDGET: ${early.length} requests reached i-1 from ${daemon.name} while it wanted none`] : [];
});
