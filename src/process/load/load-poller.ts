import type {Dispatcher} from 'undici';
import {readBoundedText} from '../../connection/bounded-body.ts';
import type {Host} from '../../ports/host-list.ts';
import type {Clock} from '../clock.ts';
import type {Log} from '../log.ts';
import {Task} from '../task.ts';
import type {LoadTable} from './load-table.ts';

/** Dependencies of the load poller. */
export type LoadPollerOptions = {
	readonly log: Log;
	readonly clock: Clock;
	readonly dispatcher: Dispatcher;
	readonly loads: LoadTable;
	/** Upstreams whose reports are read. */
	readonly upstreams: () => readonly Host[];
};

type Message
	= | {readonly kind: 'poll'}
		| {readonly kind: 'read'; readonly upstream: string; readonly outstandingTokens: number; readonly measuredAt: number};

const pollIntervalMs = 1000;
const readTimeoutMs = 900;
/** Largest report, in bytes; those of engines have some hundred lines. */
const maxReportBytes = 1024 * 1024;
/** Reports read per poll; the others follow in round-robin order, so that the cost does not grow with the fleet. */
const readsPerPoll = 16;
/** Typical age of the values in a report. */
const reportLagMs = 2000;
const outstandingPattern = /^engine_outstanding_tokens (?<tokens>[\d.]+)/mv;

/** Reads the load reports of engines in round-robin order and skips reports that cannot be read. */
export class LoadPoller extends Task<Message> {
	readonly #options: LoadPollerOptions;
	#nextIndex = 0;

	constructor(options: LoadPollerOptions) {
		super(options.log);
		this.#options = options;
	}

	/** Starts polling, at once and then every second. */
	run(): void {
		this.start({message: {kind: 'poll'}, intervalMs: pollIntervalMs});
	}

	protected receive(message: Message): void {
		switch (message.kind) {
			case 'poll': {
				this.#poll();
				return;
			}

			case 'read': {
				const {upstream, outstandingTokens, measuredAt} = message;
				this.#options.loads.applyReport(upstream, {outstandingTokens, measuredAt});
			}
		}
	}

	#poll(): void {
		const engines = this.#options.upstreams().filter(({kind}) => kind === 'engine');
		const count = Math.min(readsPerPoll, engines.length);
		for (let index = 0; index < count; index += 1) {
			void this.#read(engines[(this.#nextIndex + index) % engines.length]!);
		}

		this.#nextIndex += count;
	}

	async #read({id, address}: Host): Promise<void> {
		const measuredAt = this.#options.clock.now() - reportLagMs;
		try {
			const {body} = await this.#options.dispatcher.request({
				origin: `http://${address}`, path: '/metrics', method: 'GET', signal: AbortSignal.timeout(readTimeoutMs),
			});
			const tokens = outstandingPattern.exec(await readBoundedText(body, maxReportBytes))?.groups?.tokens;
			if (tokens !== undefined) {
				this.post({
					kind: 'read', upstream: id, outstandingTokens: Number(tokens), measuredAt,
				});
			}
		} catch {
			// The previous report stays in use, with a weight that decays with its age.
		}
	}
}
