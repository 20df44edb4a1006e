/* eslint-disable camelcase, no-await-in-loop -- The fields are those of the platform; steps of a case follow each other. */
import {writeFileSync} from 'node:fs';
import {Agent, request} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {Store} from './store.mjs';
import {sleep} from './net.mjs';

const heartbeatMs = 1200;
const engine = {
	slots: 128, kv_tokens: 1_180_745, token_kv_bytes: 18_432, link_mbps: 550_000, handle_ttl_s: 5, switch_s: 3, models: [{name: 'm'}],
};

/** Returns a route of the operator's configuration. */
export function createRoute(kind, service, fields = {}) {
	return {
		name: `${kind}-${service}`, host: 'desk.example', path_prefix: `/${service}/`, kind, service,
		timeout_ms: kind === 'streaming' ? 5000 : 2500, target_latency_ms: 400, priority: 1, max_attempts: 2,
		...(kind === 'streaming' ? {sticky: true, resumable: false, target_gap_ms: 250} : {}), ...fields,
	};
}

/** A small deployment: store, replicas and daemons, which the case starts. */
export class Deployment {
	store = new Store();
	replicas = [];
	daemons = [];
	/** Replicas whose entries no longer reach the store. */
	cutReplicas = new Set();
	#timer;
	#agent = new Agent({keepAlive: true, maxSockets: 200});

	async start({routes, replicas}) {
		await this.store.start();
		this.replicas = replicas;
		for (const replica of replicas) {
			await replica.start();
		}

		const models = new Set(replicas.filter(({stage}) => stage !== undefined).map(({service}) => service));
		this.store.put('op', 'config', {
			version: 3,
			routes,
			services: [...new Set(replicas.map(({service}) => service))].map(name => ({
				name, health_path: '/healthz', max_connections: 620, protocol: 'h1', tls: false, ...(models.has(name) ? {engine} : {}),
			})),
			limits: {
				max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
			},
		});
		this.register();
		this.#timer = setInterval(() => {
			this.register();
		}, heartbeatMs);
	}

	/** Writes the entries of all replicas that run and reach the store. */
	register() {
		for (const replica of this.replicas.filter(candidate => candidate.server.listening && !this.cutReplicas.has(candidate))) {
			this.store.put('servers', replica.id, replica.entry());
		}
	}

	/** Starts daemons; resolves once all are ready. */
	async startDaemons(daemons) {
		this.daemons = daemons;
		await Promise.all(daemons.map(async daemon => daemon.start()));
		const ready = await Promise.all(daemons.map(async daemon => daemon.waitUntilReady()));
		if (ready.includes(false)) {
			throw new Error('A daemon did not become ready.');
		}
	}

	/** Sends a request; resolves with its status, or with an error code. */
	async send(daemon, {method = 'GET', url, id, headers = {}, body, timeoutMs = 6000}) {
		const [host, port] = daemon.address.split(':');
		return new Promise(resolve => {
			const sent = request({
				host, port, method, path: url, agent: this.#agent, timeout: timeoutMs, headers: {host: 'desk.example', 'x-request-id': id, ...headers},
			}, async response => {
				const chunks = [];
				response.on('data', chunk => chunks.push(chunk));
				response.once('end', () => resolve({status: response.statusCode, body: chunks.join('')}));
				response.once('error', error => resolve({status: error.code, isKept: sent.reusedSocket}));
			});
			sent.once('error', error => resolve({status: error.code, isKept: sent.reusedSocket}));
			sent.once('timeout', () => sent.destroy());
			sent.end(body);
		});
	}

	async stop() {
		clearInterval(this.#timer);
		this.#agent.destroy();
		await Promise.all(this.daemons.map(async daemon => daemon.stop()));
	}
}

/** Lines of `record.txt`, with the time since the start. */
export class Recording {
	#lines = [];
	#startedAt = performance.now();

	add(line) {
		this.#lines.push(`${((performance.now() - this.#startedAt) / 1000).toFixed(3)} ${line}`);
	}

	write(folder) {
		writeFileSync(path.join(folder, 'record.txt'), `${this.#lines.join('\n')}\n`);
	}
}

/**
Plays a case and exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.

`play` receives the deployment, the recording and whether to bring the disruption about; it returns the breaches of the rule.
*/
export async function runCase(folder, play, limitMs = 110_000) {
	const deployment = new Deployment();
	const recording = new Recording();
	const isTroubled = process.env.TROUBLE !== '0';
	let code = 2;
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			// Ends the processes that the case has started.

			process.exit(2);
		});
	}

	process.once('uncaughtException', error => {
		console.error(error);

		process.exit(2);
	});
	try {
		const breaches = await Promise.race([play(deployment, recording, isTroubled), sleep(limitMs).then(() => {
			throw new Error('The case took too long.');
		})]);
		for (const breach of breaches) {
			recording.add(`BROKEN ${breach}`);
		}

		recording.add(breaches.length === 0 ? 'the rule held' : `the rule was broken: ${breaches.length} findings`);
		console.log(breaches.length === 0 ? 'held' : `broken: ${breaches.slice(0, 3).join('; ')}`);
		code = breaches.length === 0 ? 0 : 1;
	} catch (error) {
		recording.add(`could not run: ${error.stack}`);
		console.log(`could not run: ${error.message}`);
	}

	await deployment.stop();
	recording.write(folder);
	// Servers and connections of the stand-ins are still open.
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(code);
}
