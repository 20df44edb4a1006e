/* eslint-disable camelcase -- Names of the platform's protocol. */
/* eslint-disable no-await-in-loop -- The steps follow one another in time. */
/**
A request crashes each replica that runs it, and comes again every few seconds at the daemons in turn. Three times, all daemons are
killed at the same moment and started again. Counts how often the request reaches replicas after it has crashed the third.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {
	bounds, Deployment, runCase, send,
} from '../stand-ins/deployment.mjs';
import {Replica} from '../stand-ins/replica.mjs';
import {Store} from '../stand-ins/store.mjs';

const zones = ['ub-east', 'ub-west', 'ub-north'];
const host = 'desk.example';
const crashPath = '/book/crash';
const intervalMs = 40;
/** Time between two attempts of the request that crashes replicas. */
const attemptIntervalMs = 5000;
/** Number of attempts, and those after which all daemons are killed. */
const attempts = 14;
const killsAfter = new Set([3, 6, 9]);
/** Time from the kill to the next attempt; the daemons have started again and have been in touch for a while by then. */
const killLeadMs = 4700;
/** A replica that has crashed is back after this time, as a new start. */
const replicaDownMs = 3000;
const allowedRetries = 3;

await runCase(import.meta.url, async ({hasTrouble, record, onEnd}) => {
	const store = new Store();
	const storeAddress = await store.start();
	onEnd(() => store.stop());
	const replicas = [];
	let starts = 0;
	let hasEnded = false;
	const addReplica = async zone => {
		starts += 1;
		const replica = new Replica({
			store, id: `i-${starts}`, service: 'order-desk', zone, workMs: () => 30 + (Math.random() * 30),
		});
		replica.crashes = request => request.url === crashPath;
		replica.onCrash = async () => {
			await delay(replicaDownMs);
			if (!hasEnded) {
				store.remove('servers', replica.id);
				await addReplica(zone);
			}
		};

		await replica.start();
		replicas.push(replica);
	};

	onEnd(() => {
		hasEnded = true;
		for (const replica of replicas) {
			replica.exit();
		}
	});
	for (const zone of zones) {
		await addReplica(zone);
	}

	store.put('op', 'config', {
		version: 7,
		routes: [
			{
				name: 'run-book', host, path_prefix: '/book/', kind: 'non_idempotent', service: 'order-desk', timeout_ms: 2500, target_latency_ms: 193, priority: 2, max_attempts: 1,
			},
		],
		services: [{name: 'order-desk', health_path: '/healthz', max_connections: 110}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
	});
	const deployment = new Deployment();
	onEnd(async () => deployment.stop());
	await deployment.start({storeAddress, zones});
	const startedAt = performance.now();
	const time = at => Math.round(at - startedAt);

	const answers = [];
	let sent = 0;
	const sendNext = async () => {
		sent += 1;
		const number = sent;
		const daemon = deployment.daemons[number % deployment.daemons.length];
		const answer = await send({
			address: daemon.callerAddress, path: `/book/${number}`, method: 'POST', id: `r-${number}`, host, deadlineMs: 2500, body: `run ${number}`,
		});
		answers.push(answer);
	};

	const traffic = setInterval(sendNext, intervalMs);
	onEnd(() => clearInterval(traffic));

	await delay(4000);
	const attemptAnswers = [];
	for (let attempt = 1; attempt <= attempts; attempt += 1) {
		await delay(attemptIntervalMs - killLeadMs);
		if (killsAfter.has(attempt - 1) && hasTrouble) {
			for (const daemon of deployment.daemons) {
				daemon.signal('SIGKILL');
			}

			record(`${time(performance.now())} ms: all ${deployment.daemons.length} daemons are killed`);
		}

		await delay(killLeadMs);
		const daemon = deployment.daemons[attempt % deployment.daemons.length];
		const inTouchMs = performance.now() - daemon.startedAt;
		const answer = await send({
			address: daemon.callerAddress, path: crashPath, method: 'POST', id: `crash-${attempt}`, host, deadlineMs: 2500, body: 'run of the crash',
		});
		attemptAnswers.push({...answer, inTouchMs});
		const reached = replicas.flatMap(({id, arrivals}) => arrivals.filter(arrival => arrival.id === answer.id).map(({outcome}) => `${id} ${outcome}`));
		record(`${time(answer.sentAt)} ms: attempt ${attempt} at a daemon that has run for ${Math.round(inTouchMs)} ms: status ${answer.status}, reached ${reached.join(', ') || 'no replica'}`);
	}

	clearInterval(traffic);
	await delay(3000);
	const crashes = replicas.flatMap(({arrivals}) => arrivals.filter(({outcome}) => outcome === 'crashed')).toSorted((a, b) => a.at - b.at);
	const thirdAt = crashes[2]?.at ?? Number.POSITIVE_INFINITY;
	const hasReached = id => replicas.some(({arrivals}) => arrivals.some(arrival => arrival.id === id));
	const retries = attemptAnswers.filter(({id, sentAt, inTouchMs}) => sentAt > thirdAt + bounds.contact_ms && inTouchMs >= bounds.contact_ms && hasReached(id));
	record(`other requests sent: ${sent}, answered with 200: ${answers.filter(({status}) => status === 200).length}, with 502: ${answers.filter(({status}) => status === 502).length}`);
	record(`replicas crashed: ${crashes.length}; the third at ${time(thirdAt)} ms`);
	record(`retries that reached replicas later than ${bounds.contact_ms} ms after that, sent by daemons in touch: ${retries.length}, allowed: ${allowedRetries}`);
	const cut = replicas.flatMap(({arrivals}) => arrivals.filter(({outcome}) => outcome === 'cut')).length;
	record(`other requests whose run a crash cut: ${cut}`);
	return retries.length <= allowedRetries;
});
