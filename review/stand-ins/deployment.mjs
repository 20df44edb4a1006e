/* eslint-disable camelcase -- Names of the platform's protocol. */
/* eslint-disable no-await-in-loop -- The steps follow one another in time. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync, appendFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {findFreePorts} from './network.mjs';

const root = fileURLToPath(new URL('../..', import.meta.url));

/** Bounds of the deployment Tuul Carton. */
export const bounds = {
	contact_ms: 3000, drain_ms: 2000, grace_s: 8, config_apply_ms: 2000, retry_budget_ratio: 0.2, retry_window_s: 10, budget_slack: 56, lease_ms: 3000,
};

const restartDelayMs = 300;

/** A daemon in a process of its own, started with the command of the deploy file and settings from its template. */
export class Daemon {
	/** Times of starts and ends of the process. */
	events = [];
	/** End of the output, for a failed case. */
	output = '';
	#settings;
	#child;
	#isStopped = false;

	constructor(settings, ports) {
		this.#settings = settings;
		this.ports = ports;
	}

	get callerAddress() {
		return `127.0.0.1:${this.ports.callers}`;
	}

	get startedAt() {
		return this.events.findLast(({kind}) => kind === 'start').at;
	}

	start() {
		const [program, ...args] = readRunCommand();
		this.#child = spawn(program, args, {cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, WAGTAILTACK_SETTINGS: this.#settings}, stdio: ['ignore', 'pipe', 'pipe']});
		this.events.push({kind: 'start', at: performance.now()});
		for (const stream of [this.#child.stdout, this.#child.stderr]) {
			stream.setEncoding('utf8').on('data', text => {
				this.output = (this.output + text).slice(-1_000_000);
			});
		}

		this.#child.once('exit', () => {
			this.events.push({kind: 'end', at: performance.now()});
			if (!this.#isStopped) {
				// The platform starts a process that has ended again after a short delay.
				setTimeout(() => {
					if (!this.#isStopped) {
						this.start();
					}
				}, restartDelayMs);
			}
		});
	}

	/** The process is not started again after its next end. */
	expectEnd() {
		this.#isStopped = true;
	}

	signal(name) {
		this.#child.kill(name);
	}

	async stop() {
		this.#isStopped = true;
		if (this.#child.exitCode === null && this.#child.signalCode === null) {
			const end = once(this.#child, 'exit');
			this.#child.kill('SIGCONT');
			this.#child.kill('SIGKILL');
			await end;
		}
	}

	async isReady() {
		const answer = await send({address: `127.0.0.1:${this.ports.readiness}`, path: '/api/ready', timeoutMs: 500});
		return answer.status === 200;
	}
}

/** Daemons of one deployment, one in each zone of a list. */
export class Deployment {
	daemons = [];
	#folder = mkdtempSync(path.join(tmpdir(), 'wagtailtack-review-'));

	async start({storeAddress, zones}) {
		const ports = await findFreePorts(zones.length * 4);
		for (const [index, zone] of zones.entries()) {
			const [callers, readiness, peers, metrics] = ports.slice(index * 4);
			const settings = path.join(this.#folder, `daemon-${index}.ini`);
			writeFileSync(settings, renderSettings({
				name: `edge-${zone}-${index + 1}`, zone, storeAddress, callers, readiness, peers, metrics,
			}));
			const daemon = new Daemon(settings, {callers, readiness});
			this.daemons.push(daemon);
			daemon.start();
		}

		await this.waitUntilReady();
	}

	async waitUntilReady(limitMs = 15_000) {
		const end = performance.now() + limitMs;
		for (const daemon of this.daemons) {
			while (!await daemon.isReady()) {
				if (performance.now() > end) {
					throw new Error(`a daemon did not become ready: ${daemon.output.slice(-2000)}`);
				}

				await delay(50);
			}
		}
	}

	async stop() {
		await Promise.all(this.daemons.map(async daemon => daemon.stop()));
		rmSync(this.#folder, {recursive: true, force: true});
	}
}

/** Sends one request on a new connection; resolves with the status (0 without a complete answer), the times and the body. */
export async function send({address, path: target, method = 'GET', id = '', host = '', deadlineMs, headers = {}, body, timeoutMs = 10_000}) {
	const sentAt = performance.now();
	return new Promise(resolve => {
		const finish = result => {
			resolve({
				id, address, method, path: target, sentAt, endedAt: performance.now(), ...result,
			});
		};

		const [hostname, port] = address.split(':');
		const call = request({
			host: hostname,
			port: Number(port),
			path: target,
			method,
			agent: false,
			timeout: timeoutMs,
			headers: {
				host, 'x-request-id': id, ...(deadlineMs === undefined ? {} : {'x-deadline-ms': String(deadlineMs)}), ...headers,
			},
		}, response => {
			let text = '';
			response.setEncoding('utf8').on('data', chunk => {
				text += chunk;
			});
			response.once('end', () => {
				finish({status: response.complete ? response.statusCode : 0, body: text, isSealed: response.headers['x-response-seal'] !== undefined});
			});
			response.once('error', () => {
				finish({status: 0, body: text, isSealed: false});
			});
		});
		call.once('timeout', () => {
			call.destroy();
		});
		call.once('error', error => {
			finish({
				status: 0, body: '', isSealed: false, error: error.code,
			});
		});
		call.end(body);
	});
}

/** Runs a case: `play` returns true if the rule held. Writes the record, ends all processes and exits with 0, 1 or 2. */
export async function runCase(folderUrl, play) {
	const recordPath = fileURLToPath(new URL('record.txt', folderUrl));
	writeFileSync(recordPath, '');
	const record = line => {
		appendFileSync(recordPath, `${line}\n`);
	};

	const hasTrouble = process.env.TROUBLE !== '0';
	record(`trouble: ${hasTrouble ? 'yes' : 'no'}`);
	const cleanups = [];
	let exitCode = 2;
	const end = async () => {
		for (const clean of cleanups.splice(0).toReversed()) {
			await clean();
		}
	};

	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, async () => {
			await end();
			process.exit(2);
		});
	}

	try {
		const isKept = await play({
			hasTrouble, record, onEnd(clean) {
				cleanups.push(clean);
			},
		});
		exitCode = isKept ? 0 : 1;
	} catch (error) {
		record(`the case could not run: ${error.stack}`);
	}

	await end();
	record(['the rule held', 'the rule was broken', 'the case could not run'][exitCode]);
	console.log(['the rule held', 'the rule was broken', 'the case could not run'][exitCode]);
	// Sockets of the stand-ins may still be open.
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(exitCode);
}

/** Reads the command of the role from the deploy file. */
function readRunCommand() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "(.*)"$/mv.exec(text)[1].split(' ');
}

/** Fills in the template of the settings as the platform does. */
function renderSettings({name, zone, storeAddress, callers, readiness, peers, metrics}) {
	const values = {
		node_name: name,
		ip: '127.0.0.1',
		zone,
		'listen.frontend': `127.0.0.1:${callers}`,
		'listen.readiness': `127.0.0.1:${readiness}`,
		'internal_ports.0': peers,
		'platform.address': storeAddress,
		'limits.memory_mb': 350,
		'limits.link_mbps': 1000,
		...Object.fromEntries(Object.entries(bounds).map(([key, value]) => [`bounds.${key}`, value])),
	};
	const text = readFileSync(path.join(root, 'deploy/daemon.ini'), 'utf8').replaceAll(/\{\{(.*?)\}\}/gv, (_match, key) => String(values[key]));
	// On one machine, each daemon needs a port of its own for the metrics.
	return text.replace(/^metrics-port = .*$/mv, `metrics-port = ${metrics}`);
}
