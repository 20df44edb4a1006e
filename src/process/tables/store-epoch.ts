/** Change of the store's epoch. */
export type EpochChange = {
	readonly before: number;
	readonly after: number;
};

/** Receives what the answers of the store show about its epoch. */
export type EpochListener = {
	/** Called with the first answer of a later epoch: the store has been restored from an older copy. */
	readonly onRestored: (change: EpochChange) => void;
	/** Called with the first of consecutive answers whose epoch cannot be used; `value` is what they say. */
	readonly onUnusable: (value: string) => void;
};

const digitsPattern = /^\d{1,16}$/v;
/** Longest part of an unusable value that is reported, in characters. */
const maxReportedLength = 40;

/**
Epoch of the platform's store, which rises whenever the store is restored from an older copy.

Versions of rows are given out again in a later epoch, so that they can only be compared within one.
*/
export class StoreEpoch {
	#listener: EpochListener | undefined;
	#current: number | undefined;
	#restores = 0;
	#unusable = 0;
	#isUnusable = false;

	/** Latest epoch; undefined until an answer has named one. */
	get current(): number | undefined {
		return this.#current;
	}

	/** Number of times that the epoch has risen since the daemon started. */
	get restores(): number {
		return this.#restores;
	}

	/** Number of answers whose epoch was no whole number, or an earlier one than that of an answer before. */
	get unusable(): number {
		return this.#unusable;
	}

	/** Sets the receiver of changes. */
	listen(listener: EpochListener): void {
		this.#listener = listener;
	}

	/** Reads the epoch that an answer names; an answer without one, or with one that is no whole number, belongs to the latest epoch. */
	observe(value: string | undefined): number | undefined {
		if (value === undefined) {
			return this.#current;
		}

		const epoch = parseEpoch(value);
		if (epoch === undefined || (this.#current !== undefined && epoch < this.#current)) {
			this.#countUnusable(value);
			return epoch ?? this.#current;
		}

		this.#isUnusable = false;
		const before = this.#current;
		this.#current = epoch;
		if (before !== undefined && epoch > before) {
			this.#restores += 1;
			this.#listener?.onRestored({before, after: epoch});
		}

		return epoch;
	}

	#countUnusable(value: string): void {
		this.#unusable += 1;
		if (!this.#isUnusable) {
			this.#isUnusable = true;
			this.#listener?.onUnusable(value.slice(0, maxReportedLength));
		}
	}
}

function parseEpoch(value: string): number | undefined {
	const epoch = Number(value);
	return digitsPattern.test(value) && Number.isSafeInteger(epoch) ? epoch : undefined;
}
