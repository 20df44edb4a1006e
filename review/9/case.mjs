/* eslint-disable no-void -- The fields are those of the platform; steps of a case follow each other. */
import process from 'node:process';
import {Daemon} from '../stand-ins-2/daemon.mjs';
import {createRoute, runCase} from '../stand-ins-2/deployment.mjs';
import {sleep} from '../stand-ins-2/net.mjs';
import {Replica} from '../stand-ins-2/replica.mjs';

const contactMs = 3000;
const restartMs = 2000;
const removedAfterMs = 3600;
const playedMs = 60_000;
const crashingIntervalMs = 1000;
const soundPerSecond = 20;
const crashesThatCount = 5;
const allowed = 3;
/** Place of the part that crashes replicas among the shared parts. */
const place = Number(process.env.PLACE ?? 20);
const sharedParts = Array.from({length: 23}, (_, index) => `a${index.toString(16).padStart(2, '0')}:50`);
const crashingPart = 'bad0';

await runCase(import.meta.dirname, async (deployment, recording, isTroubled) => {
	const crashes = [];
	const restart = async replica => {
		const {id} = replica;
		await replica.crash();
		setTimeout(() => {
			deployment.store.put('servers', id, undefined);
		}, removedAfterMs);
		await sleep(restartMs);
		await replica.restart(`${id.split('-', 2).join('-')}-${crashes.length}`);
		deployment.register();
	};

	const replicas = Array.from({length: 10}, (_, index) => new Replica({
		id: `i-${index}`,
		service: 'press',
		stage: index < 3 ? 'prefill' : 'decode',
		slots: 128,
		async answer({id, headers, isPrefill}, _response, replica) {
			if (!replica.server.listening) {
				return true;
			}

			if (isPrefill || !headers['x-prompt-prefix'].includes(`${crashingPart}:`)) {
				return false;
			}

			recording.add(`replica ${replica.id}: ${id} crashes it`);
			crashes.push(performance.now());
			void restart(replica);
			return true;
		},
	}));
	await deployment.start({routes: [createRoute('streaming', 'press')], replicas});
	const daemons = ['edge-1', 'edge-2'].map(name => new Daemon({name, store: deployment.store.address}));
	await deployment.startDaemons(daemons);
	const statuses = {sound: new Map(), crashing: new Map()};
	let sent = 0;
	const send = async kind => {
		sent += 1;
		const index = sent;
		const parts = [...sharedParts];
		if (kind === 'crashing') {
			parts.splice(place - 1, 0, `${crashingPart}:50`);
		}

		const {status} = await deployment.send(daemons[index % 2], {
			method: 'POST',
			url: `/press/${index}`,
			id: `${kind}-${index}`,
			headers: {
				'x-model': 'm', 'x-token-counts': '1450,5', 'x-prompt-prefix': [...parts, `f${index.toString(16)}:250`].join(','), 'x-deadline-ms': '3000',
			},
			body: `prompt ${index}`,
		});
		statuses[kind].set(status, (statuses[kind].get(status) ?? 0) + 1);
		if (kind === 'crashing') {
			recording.add(`client: ${kind}-${index} was answered ${status}`);
		}
	};

	const timers = [setInterval(send, 1000 / soundPerSecond, 'sound')];
	await sleep(5000);
	if (isTroubled) {
		timers.push(setInterval(send, crashingIntervalMs, 'crashing'));
	}

	await sleep(playedMs);
	for (const timer of timers) {
		clearInterval(timer);
	}

	await sleep(3500);
	recording.add(`clients: ${JSON.stringify(Object.fromEntries(Object.entries(statuses).map(([kind, counts]) => [kind, Object.fromEntries(counts)])))}`);
	if ((statuses.sound.get(200) ?? 0) === 0) {
		throw new Error('No request was served.');
	}

	const after = (crashes[crashesThatCount - 1] ?? Number.POSITIVE_INFINITY) + contactMs;
	const late = new Set(replicas.flatMap(({arrivals}) => arrivals).filter(({id, at}) => id.startsWith('crashing') && at > after).map(({id}) => id));
	recording.add(`replicas: ${crashes.length} crashes; ${late.size} requests with the part reached replicas later than ${contactMs} ms after the fifth`);
	return late.size > allowed ? [`BUDGET: ${late.size} requests with the part reached replicas later than ${contactMs} ms after the fifth crash; ${crashes.length} crashes in all`] : [];
});
