/** Limits the total memory held by the request bodies of a process. */
export class ByteBudget {
	readonly #limitBytes: number;
	#heldBytes = 0;

	constructor(limitBytes: number) {
		this.#limitBytes = limitBytes;
	}

	/** Bytes currently reserved. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Reserves bytes; returns false and reserves nothing when they would exceed the limit. */
	reserve(bytes: number): boolean {
		if (this.#heldBytes + bytes > this.#limitBytes) {
			return false;
		}

		this.#heldBytes += bytes;
		return true;
	}

	/** Releases reserved bytes. */
	release(bytes: number): void {
		this.#heldBytes -= bytes;
	}
}
