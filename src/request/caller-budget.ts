/** Reason for which a caller's request is refused before it has been read completely. */
export type BudgetRefusal = 'memory' | 'pieces' | 'stalled';

/** What the body of one request holds and costs. */
export type BodyAccount = {
	/** Address of the caller. */
	readonly source: string;
	readonly openedAt: number;
	/** Called when the request must be refused so that others can be read. */
	readonly refuse: (reason: BudgetRefusal) => void;
	heldBytes: number;
	readBytes: number;
	pieces: number;
	lastPieceAt: number;
};

/** Pieces of a body that may have any size. */
const freePieces = 1024;
/** Average size of pieces above which there may be any number of them, in bytes. */
const minAveragePieceBytes = 64;
/** Time without a byte after which a body no longer makes progress, in milliseconds. */
const stallMs = 500;
/** Part of the memory that only small bodies may use, so that large ones do not keep them out. */
const smallBodyFraction = 1 / 8;
const smallBodyBytes = 64 * 1024;

/**
Shares the memory for request bodies, and the processor time for bodies in small pieces, between all callers.

When memory is short, it refuses first what makes no progress, then what belongs to the source that holds most, then the largest
and the newest. Bodies in very small pieces cost far more processor time than memory; one is read at a time.
*/
export class CallerBudget {
	readonly #limitBytes: number;
	/** Bodies that are being read, in the order of their arrival. */
	readonly #reading = new Set<BodyAccount>();
	readonly #sourceBytes = new Map<string, number>();
	#heldBytes = 0;
	/** The body that may arrive in very small pieces. */
	#pieceHolder: BodyAccount | undefined;

	constructor(limitBytes: number) {
		this.#limitBytes = limitBytes;
	}

	/** Bytes that bodies hold. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Number of bodies that are being read. */
	get readingCount(): number {
		return this.#reading.size;
	}

	/** Begins to read a body. */
	open(source: string, now: number, refuse: BodyAccount['refuse']): BodyAccount {
		const account: BodyAccount = {
			source, openedAt: now, refuse, heldBytes: 0, readBytes: 0, pieces: 0, lastPieceAt: now,
		};
		this.#reading.add(account);
		return account;
	}

	/** Counts a piece of a body; returns the reason to refuse it, if there is one. */
	countPiece(account: BodyAccount, bytes: number, now: number): BudgetRefusal | undefined {
		account.pieces += 1;
		account.readBytes += bytes;
		account.lastPieceAt = now;
		if (account === this.#pieceHolder || account.pieces <= freePieces + (account.readBytes / minAveragePieceBytes)) {
			return undefined;
		}

		const holder = this.#pieceHolder;
		if (holder !== undefined && now - holder.lastPieceAt < stallMs) {
			return 'pieces';
		}

		this.#pieceHolder = account;
		holder?.refuse('pieces');
		return undefined;
	}

	/** Takes memory for a body, at the expense of others if need be; returns false if it must be refused. */
	take(account: BodyAccount, bytes: number, now: number): boolean {
		const wanted = account.heldBytes + bytes;
		const limit = wanted <= smallBodyBytes ? this.#limitBytes : this.#limitBytes * (1 - smallBodyFraction);
		while (this.#heldBytes + bytes > limit) {
			const worst = this.#findWorst(account, bytes, now);
			if (worst === account) {
				return false;
			}

			this.close(worst);
			worst.refuse(now - worst.lastPieceAt >= stallMs ? 'stalled' : 'memory');
		}

		this.#hold(account, bytes);
		return true;
	}

	/** Ends the reading of a body; what it holds is kept. */
	endReading(account: BodyAccount): void {
		this.#reading.delete(account);
		if (this.#pieceHolder === account) {
			this.#pieceHolder = undefined;
		}
	}

	/** Ends the reading of a body and returns what it holds. */
	close(account: BodyAccount): void {
		this.endReading(account);
		this.#hold(account, -account.heldBytes);
	}

	/** Refuses the bodies of which nothing has arrived for a time. */
	refuseStalled(now: number, maxStallMs: number): void {
		for (const account of [...this.#reading].filter(({lastPieceAt}) => now - lastPieceAt >= maxStallMs)) {
			this.close(account);
			account.refuse('stalled');
		}
	}

	/** The body that is refused first if the account is given further bytes. */
	#findWorst(account: BodyAccount, bytes: number, now: number): BodyAccount {
		let worst = account;
		let worstRank = this.#rank(account, bytes, now);
		for (const other of this.#reading) {
			if (other !== account && other.heldBytes > 0) {
				const rank = this.#rank(other, 0, now);
				if (compareRanks(rank, worstRank) > 0) {
					worst = other;
					worstRank = rank;
				}
			}
		}

		return worst;
	}

	#rank({source, heldBytes, lastPieceAt, openedAt}: BodyAccount, additionalBytes: number, now: number): readonly number[] {
		return [now - lastPieceAt >= stallMs ? 1 : 0, this.#sourceBytes.get(source) ?? 0, heldBytes + additionalBytes, openedAt];
	}

	#hold(account: BodyAccount, bytes: number): void {
		const {source} = account;
		const sourceBytes = (this.#sourceBytes.get(source) ?? 0) + bytes;
		account.heldBytes += bytes;
		this.#heldBytes += bytes;
		if (sourceBytes === 0) {
			this.#sourceBytes.delete(source);
		} else {
			this.#sourceBytes.set(source, sourceBytes);
		}
	}
}

function compareRanks(left: readonly number[], right: readonly number[]): number {
	const index = left.findIndex((value, place) => value !== right[place]);
	return index === -1 ? 0 : left[index]! - right[index]!;
}
