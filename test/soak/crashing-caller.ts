import {request} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {soakKey} from './soak-accounts.ts';

/** Target of the request that crashes each plain upstream that begins to run it. */
export const crashTarget = '/lookup/crash';

const intervalMs = 250;
const deadlineMs = 2000;

/** A caller that sends one request that crashes upstreams to the daemons in turn, each time with another id and from another address. */
export class CrashingCaller implements AsyncDisposable {
	readonly #addresses: readonly string[];
	#isStopped = false;
	#running = Promise.resolve();

	constructor(addresses: readonly string[]) {
		this.#addresses = addresses;
	}

	/** Starts to send. */
	start(): void {
		this.#running = this.#run();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isStopped = true;
		await this.#running;
	}

	async #run(): Promise<void> {
		for (let count = 0; !this.#isStopped; count += 1) {
			await this.#send(count);
			await delay(intervalMs);
		}
	}

	async #send(count: number): Promise<void> {
		const [host, port] = this.#addresses[count % this.#addresses.length]!.split(':');
		const {promise, resolve} = Promise.withResolvers<void>();
		const sent = request({
			host,
			port: Number(port),
			path: crashTarget,
			agent: false,
			localAddress: `127.0.3.${1 + (count % 200)}`,
			timeout: deadlineMs,
			headers: {
				host: 'a.example', 'x-request-id': `crash-${count}`, 'x-deadline-ms': String(deadlineMs), authorization: `Bearer ${soakKey('south')}`,
			},
		}, response => {
			response.resume();
			response.once('close', resolve);
		});
		sent.once('timeout', () => {
			sent.destroy();
		});
		// A daemon that is down or stopping refuses or drops the connection.
		sent.once('error', () => {
			resolve();
		});
		sent.end();
		await promise;
	}
}
