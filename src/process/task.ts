import {createAdapter} from '@most/adapter';
import {
	map, merge, periodic, runEffects, tap, until,
} from '@most/core';
import {newDefaultScheduler} from '@most/scheduler';
import type {Stream} from '@most/types';
import type {Log} from './log.ts';

/** Actor that owns state and sockets and is accessed only through its mailbox, a stream of messages. */
export abstract class Task<Message> implements AsyncDisposable {
	protected readonly log: Log;
	readonly #post: (message: Message) => void;
	readonly #mailbox: Stream<Message>;
	readonly #stop: () => void;
	readonly #stopped: Stream<void>;
	#finished: Promise<void> = Promise.resolve();
	#disposed: Promise<void> | undefined;

	constructor(log: Log) {
		this.log = log;
		[this.#post, this.#mailbox] = createAdapter<Message>();
		[this.#stop, this.#stopped] = createAdapter<void>();
	}

	/** Delivers a message; messages are handled one at a time, in order. */
	post(message: Message): void {
		this.#post(message);
	}

	/** Starts handling messages; `tick` adds a message that is delivered immediately and then at each interval, in milliseconds. */
	start(tick?: {readonly message: Message; readonly intervalMs: number}): void {
		const source: Stream<Message> = tick === undefined
			? this.#mailbox
			: merge(this.#mailbox, map((): Message => tick.message, periodic(tick.intervalMs)));
		const handled = tap((message: Message) => {
			this.#handle(message);
		}, until(this.#stopped, source));
		this.#finished = runEffects(handled, newDefaultScheduler());
	}

	/** Stops handling messages and releases the resources of the task. */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#disposed ??= this.#dispose();
		await this.#disposed;
	}

	/** Releases sockets, timers and other resources; called once, after the last message. */
	protected async release(): Promise<void> {
		// By default there is nothing to release.
	}

	/** Handles one message; asynchronous I/O reports its result by posting another message. */
	protected abstract receive(message: Message): void;

	async #dispose(): Promise<void> {
		this.#stop();
		await this.#finished;
		await this.release();
	}

	#handle(message: Message): void {
		try {
			this.receive(message);
		} catch (error) {
			this.log.error('Failed to handle a message.', error);
		}
	}
}
