/* eslint-disable camelcase -- Names of the platform's protocol. */
/* eslint-disable no-await-in-loop -- The steps follow one another in time. */
/**
For five seconds, one replica of three spoils one in fifty of its answers: bytes that are no answer, whose status line holds a number
below 100. Counts the requests that have no answer half a second after the timeout of their route.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {
	Deployment, runCase, send,
} from '../stand-ins/deployment.mjs';
import {Replica} from '../stand-ins/replica.mjs';
import {Store} from '../stand-ins/store.mjs';

const zones = ['ub-east', 'ub-west', 'ub-north'];
const host = 'desk.example';
const intervalMs = 16;
const warmUpMs = 5000;
const troubleMs = 5000;
const observedMs = 12_000;
/** One in this many answers is spoiled. */
const spoiledEvery = 50;
const spoiledAnswer = 'HTTP/1.1 073 \r\nContent-Length: 4\r\n\r\nZ%q{';
const timeoutMs = 1200;
const callerDeadlineMs = 2500;
const answerSlackMs = 500;
/** The rule is broken when so many requests, and over half of those still open at the timeout, have no answer in time. */
const minUnanswered = 8;

await runCase(import.meta.url, async ({hasTrouble, record, onEnd}) => {
	const store = new Store();
	const storeAddress = await store.start();
	onEnd(() => store.stop());
	const replicas = [];
	onEnd(() => {
		for (const replica of replicas) {
			replica.exit();
		}
	});
	for (const [index, zone] of zones.entries()) {
		const replica = new Replica({
			store, id: `i-${index + 1}`, service: 'order-desk', zone, workMs: () => 30 + (Math.random() * 30),
		});
		await replica.start();
		replicas.push(replica);
	}

	store.put('op', 'config', {
		version: 7,
		routes: [
			{
				name: 'run-book', host, path_prefix: '/book/', kind: 'non_idempotent', service: 'order-desk', timeout_ms: timeoutMs, target_latency_ms: 193, priority: 2, max_attempts: 1,
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

	const answers = [];
	let sent = 0;
	const sendNext = async () => {
		sent += 1;
		const number = sent;
		const daemon = number % deployment.daemons.length;
		const answer = await send({
			address: deployment.daemons[daemon].callerAddress, path: `/book/${number}`, method: 'POST', id: `r-${number}`, host, body: `run ${number}`,
			deadlineMs: callerDeadlineMs, timeoutMs: callerDeadlineMs,
		});
		answers.push({...answer, daemon});
	};

	const traffic = setInterval(sendNext, intervalMs);
	onEnd(() => clearInterval(traffic));

	await delay(warmUpMs);
	const startedAt = performance.now();
	const time = at => Math.round(at - startedAt);
	let answered = 0;
	const spoiled = [];
	replicas[0].spoil = id => {
		answered += 1;
		if (!hasTrouble || performance.now() - startedAt > troubleMs || answered % spoiledEvery !== 0) {
			return undefined;
		}

		spoiled.push({id, at: performance.now()});
		return spoiledAnswer;
	};

	await delay(observedMs);
	clearInterval(traffic);
	await delay(callerDeadlineMs + 1000);

	const isOpenAtTimeout = ({sentAt, endedAt}) => endedAt - sentAt > timeoutMs;
	const open = answers.filter(answer => isOpenAtTimeout(answer));
	const unanswered = open.filter(({sentAt, endedAt}) => endedAt - sentAt > timeoutMs + answerSlackMs);
	const daemonOf = new Map(answers.map(({id, daemon}) => [id, daemon]));
	for (const {id, at} of spoiled) {
		record(`${time(at)} ms: ${replicas[0].id} spoils the answer to ${id}, sent by daemon ${daemonOf.get(id)}`);
	}

	for (const [index] of deployment.daemons.entries()) {
		const own = answers.filter(({daemon, status}) => daemon === index && status !== 0).toSorted((a, b) => a.endedAt - b.endedAt);
		const gaps = own.slice(1).map(({endedAt}, before) => ({from: own[before].endedAt, ms: endedAt - own[before].endedAt}));
		const longest = gaps.toSorted((a, b) => b.ms - a.ms)[0];
		record(`daemon ${index}: longest time without an answer ${Math.round(longest.ms)} ms, from ${time(longest.from)} ms on`);
	}

	const statuses = new Map();
	for (const {status} of answers) {
		statuses.set(status, (statuses.get(status) ?? 0) + 1);
	}

	record(`requests sent: ${sent}; ended by status (0: no answer): ${[...statuses].map(([status, count]) => `${status}: ${count}`).join(', ')}`);
	record(`still open at the timeout of ${timeoutMs} ms: ${open.length}; without an answer ${answerSlackMs} ms later: ${unanswered.length}`);
	for (const {id, daemon, sentAt, endedAt, status} of unanswered) {
		record(`no answer in time: ${id} sent to daemon ${daemon} at ${time(sentAt)} ms, open for ${Math.round(endedAt - sentAt)} ms, status ${status}`);
	}

	return unanswered.length < minUnanswered || unanswered.length * 2 <= open.length;
});
