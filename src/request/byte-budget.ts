/** Limits the memory that all request bodies of a process hold together. */
export class ByteBudget {
	readonly #limitBytes: number;
	#heldBytes = 0;

	constructor(limitBytes: number) {
		this.#limitBytes = limitBytes;
	}

	/** Bytes held now. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Reserves bytes, or nothing when they do not fit. */
	reserve(bytes: number): boolean {
		if (this.#heldBytes + bytes > this.#limitBytes) {
			return false;
		}

		this.#heldBytes += bytes;
		return true;
	}

	/** Gives reserved bytes back. */
	release(bytes: number): void {
		this.#heldBytes -= bytes;
	}
}
