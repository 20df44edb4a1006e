import type {IncomingMessage} from 'node:http';
import type {Either} from 'purify-ts';
import type {BudgetRefusal, CallerBudget} from '../../request/caller-budget.ts';
import type {CallerError} from '../../request/caller-error.ts';
import {readBody, type RequestBody} from '../../request/request-body.ts';

type BodyResult = Either<CallerError, RequestBody>;

/** Reads the bodies of requests until the shutdown ends. */
export class BodyReader {
	readonly #budget: CallerBudget;
	readonly #onRefused: (reason: BudgetRefusal) => void;
	/** Ends the wait for a body that is being read. */
	readonly #waits = new Set<() => void>();

	/** `onRefused` is called when a body is refused because the budget is short. */
	constructor(budget: CallerBudget, onRefused: (reason: BudgetRefusal) => void) {
		this.#budget = budget;
		this.#onRefused = onRefused;
	}

	/** Reads the body of a request; undefined if the shutdown ends first. */
	async read(message: IncomingMessage, maxBodyBytes: number): Promise<BodyResult | undefined> {
		const {promise, resolve} = Promise.withResolvers<undefined>();
		const endWait = () => {
			resolve(undefined);
		};

		this.#waits.add(endWait);
		try {
			const reading = readBody(message, {maxBodyBytes, budget: this.#budget, onRefused: this.#onRefused});
			const body = await Promise.race([reading, promise]);
			if (body === undefined) {
				void releaseBody(reading);
			}

			return body;
		} finally {
			this.#waits.delete(endWait);
		}
	}

	/** Ends the wait for all bodies that are being read. */
	endAll(): void {
		for (const endWait of this.#waits) {
			endWait();
		}
	}
}

/** Returns the bytes of a body that nobody waits for any more to the byte budget. */
async function releaseBody(reading: Promise<BodyResult>): Promise<void> {
	try {
		const body = await reading;
		body.ifRight(value => {
			value[Symbol.dispose]();
		});
	} catch {
		// The connection was closed, and its bytes have been returned.
	}
}
