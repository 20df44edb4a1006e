import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

/** What a daemon process is started with. */
export type DaemonProcessOptions = {
	/** Built file of the daemon. */
	readonly bundle: string;
	readonly name: string;
	readonly availabilityZone: string;
	readonly storeAddress: string;
	readonly ports: {readonly callers: number; readonly readiness: number; readonly peers: number; readonly metrics: number};
};

const keptOutput = 200_000;

/** One built daemon as a process that is started again after each of its ends. */
export class DaemonProcess implements AsyncDisposable {
	/** Ends that nobody asked for, and planned ones with another code than 0. */
	readonly unexpectedEnds: string[] = [];
	readonly #options: DaemonProcessOptions;
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'wagtailtack-soak-'));
	#child: ChildProcess | undefined;
	#isAskedToEnd = false;
	#output = '';

	constructor(options: DaemonProcessOptions) {
		this.#options = options;
	}

	/** IP and port for callers. */
	get callers(): string {
		return `127.0.0.1:${this.#options.ports.callers}`;
	}

	/** Last part of the log, of all lives of the process. */
	get output(): string {
		return this.#output;
	}

	/** Starts the process. */
	start(): void {
		const {bundle, name, availabilityZone, storeAddress, ports} = this.#options;
		const settings = path.join(this.#folder, 'settings.ini');
		writeFileSync(settings, [
			`[daemon]\nname = ${name}\nhost = 127.0.0.1\navailability-zone = ${availabilityZone}`,
			`[listen]\ncallers = 127.0.0.1:${ports.callers}\nreadiness = 127.0.0.1:${ports.readiness}\npeer-port = ${ports.peers}\nmetrics-port = ${ports.metrics}`,
			`[store]\naddress = ${storeAddress}`,
			'[limits]\nmemory-mb = 350\nlink-mbps = 1000',
			'[bounds]\nretry-ratio = 0.2\nretry-slack = 56\nretry-window-s = 10\ngrace-s = 8\ncontact-ms = 3000\ndrain-ms = 2000\nlease-ms = 3000',
		].join('\n'));
		this.#isAskedToEnd = false;
		const child = spawn(process.execPath, [bundle], {env: {PATH: process.env.PATH, WAGTAILTACK_SETTINGS: settings}, stdio: ['ignore', 'pipe', 'pipe']});
		this.#child = child;
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8').on('data', (text: string) => {
				this.#output = (this.#output + text).slice(-keptOutput);
			});
		}

		child.once('exit', (code, signal) => {
			if (!this.#isAskedToEnd || (signal === null && code !== 0)) {
				this.unexpectedEnds.push(`${name} ended with code ${code}, signal ${signal}`);
			}
		});
	}

	/** Sends a signal to the process. */
	signal(name: NodeJS.Signals): void {
		this.#isAskedToEnd ||= name === 'SIGKILL' || name === 'SIGTERM';
		this.#child?.kill(name);
	}

	/** Resolves once the process has ended. */
	async ended(): Promise<void> {
		const child = this.#child;
		if (child?.exitCode === null && child.signalCode === null) {
			await once(child, 'exit');
		}
	}

	/** True when the daemon says that it takes connections. */
	async isReady(): Promise<boolean> {
		const {promise, resolve} = Promise.withResolvers<boolean>();
		const sent = request({
			host: '127.0.0.1', port: this.#options.ports.readiness, path: '/api/ready', agent: false, timeout: 1000,
		}, response => {
			response.resume();
			resolve(response.statusCode === 200);
		});
		sent.once('error', () => {
			resolve(false);
		});
		sent.once('timeout', () => {
			sent.destroy();
		});
		sent.end();
		return promise;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.signal('SIGCONT');
		this.signal('SIGKILL');
		await this.ended();
		rmSync(this.#folder, {recursive: true, force: true});
	}
}
