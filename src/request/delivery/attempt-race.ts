/** Attempts of one request that are in progress at the same time; the delivery takes their results one after the other. */
export class AttemptRace<Result> {
	readonly #running = new Set<Promise<Result>>();
	readonly #ended: Array<() => Result> = [];
	#isSilent = false;
	#wake: (() => void) | undefined;
	/** Aborts the search for a further attempt, if there is one. */
	#silence: AbortController | undefined;

	/** Number of attempts whose results have not been taken. */
	get size(): number {
		return this.#running.size + this.#ended.length;
	}

	/** Adds an attempt. */
	add(result: Promise<Result>): void {
		// Earlier reports are about attempts that this one already runs beside.
		this.#isSilent = false;
		this.#running.add(result);
		void this.#await(result);
	}

	/** Records that nothing has been heard of an attempt for too long. */
	reportSilence(): void {
		this.#isSilent = true;
		this.#wake?.();
	}

	/** Records that an attempt has been heard of again; ends the search for a further one. */
	reportProgress(): void {
		this.#isSilent = false;
		this.#endSearch();
	}

	/** Returns the next result, or `silent` after a report of silence; rejects if the attempt did. At least one attempt must be in progress. */
	async next(): Promise<Result | 'silent'> {
		while (this.#ended.length === 0 && !this.#isSilent) {
			const {promise, resolve} = Promise.withResolvers<void>();
			this.#wake = resolve;
			await promise;
		}

		const takeResult = this.#ended.shift();
		if (takeResult !== undefined) {
			return takeResult();
		}

		this.#isSilent = false;
		return 'silent';
	}

	/** Signal that aborts at the next progress or end of an attempt. */
	silenceSignal(): AbortSignal {
		this.#silence = new AbortController();
		return this.#silence.signal;
	}

	async #await(result: Promise<Result>): Promise<void> {
		try {
			const value = await result;
			this.#ended.push(() => value);
		} catch (error) {
			this.#ended.push(() => {
				throw error;
			});
		}

		this.#running.delete(result);
		this.#endSearch();
		this.#wake?.();
	}

	/** Each call of `abort` creates an error with a stack, also on a signal that has been aborted before. */
	#endSearch(): void {
		this.#silence?.abort();
		this.#silence = undefined;
	}
}
