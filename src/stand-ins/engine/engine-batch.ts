import type {EngineModelOptions} from './engine-options.ts';
import {
	kvPieceTokens, type Sequence, type EngineEvent, type EngineLoad, type EngineWork,
} from './engine-work.ts';
import {PrefixCache, type CacheChange} from './prefix-cache.ts';

/** Running and waiting requests of an engine, with the KV memory that they and the cached prefixes use. */
export class EngineBatch {
	readonly #options: Required<EngineModelOptions>;
	readonly #emit: (event: EngineEvent) => void;
	readonly #cache = new PrefixCache();
	readonly #waiting: readonly [Sequence[], Sequence[]] = [[], []];
	#running: Sequence[] = [];
	#reservedPieces = 0;
	#cacheSequence = 0;

	constructor(options: Required<EngineModelOptions>, emit: (event: EngineEvent) => void) {
		this.#options = options;
		this.#emit = emit;
	}

	/** Running requests, in the order in which they were started. */
	get running(): readonly Sequence[] {
		return this.#running;
	}

	get isEmpty(): boolean {
		return this.#running.length === 0 && this.#waiting.every(queue => queue.length === 0);
	}

	get load(): EngineLoad {
		const [live, patient] = this.#waiting;
		let outstandingTokens = 0;
		for (const sequences of [this.#running, live, patient]) {
			for (const sequence of sequences) {
				outstandingTokens += sequence.prefillLeft + sequence.outputLeft;
			}
		}

		return {
			running: this.#running.length,
			waiting: live.length + patient.length,
			outstandingTokens,
			kvPiecesUsed: this.#reservedPieces + this.#cache.usedPieces,
			kvPiecesTotal: this.#options.kvPieces,
		};
	}

	/** Queues a request. */
	add(sequence: Sequence): void {
		this.#waiting[sequence.work.priority].push(sequence);
	}

	/** Cancels a request; returns the number of tokens that it has generated, or undefined for an unknown id. */
	cancel(id: string): number | undefined {
		for (const queue of this.#waiting) {
			const index = queue.findIndex(sequence => sequence.work.id === id);
			if (index !== -1) {
				return queue.splice(index, 1)[0]?.generated;
			}
		}

		const sequence = this.#running.find(({work}) => work.id === id);
		if (sequence !== undefined) {
			this.remove(sequence);
		}

		return sequence?.generated;
	}

	/** Removes a running request and frees its KV memory. */
	remove(sequence: Sequence): void {
		sequence.isRunning = false;
		this.#running = this.#running.filter(other => other !== sequence);
		this.#reservedPieces -= sequence.pieces;
	}

	/** Starts waiting requests in order until one does not fit, live work first. */
	admit(at: number): void {
		for (const [priority, queue] of this.#waiting.entries()) {
			for (let next = queue[0]; next !== undefined; next = queue[0]) {
				if (!this.#freeCapacity(at, next, priority === 0)) {
					return;
				}

				queue.shift();
				this.#start(at, next);
			}
		}
	}

	/** Splits the prefill tokens of one step over the running requests, live work first, then in the order in which they were started. */
	planChunks(budgetTokens: number): ReadonlyArray<readonly [Sequence, number]> {
		let remainingTokens = budgetTokens;
		const chunks: Array<readonly [Sequence, number]> = [];
		for (const priority of [0, 1]) {
			for (const sequence of this.#running) {
				if (remainingTokens > 0 && sequence.work.priority === priority && sequence.prefillLeft > 0) {
					const tokens = Math.min(remainingTokens, sequence.prefillLeft);
					chunks.push([sequence, tokens]);
					remainingTokens -= tokens;
				}
			}
		}

		return chunks;
	}

	/** Caches the prefix of a prompt after its prefill, if it fits beside the running requests. */
	storePrefix(at: number, {prefix, prefixTokens = 0}: EngineWork): void {
		if (prefix !== undefined && prefixTokens > 0) {
			const availablePieces = this.#options.kvPieces - this.#reservedPieces;
			this.#emitCacheChanges(at, this.#cache.store(prefix, Math.ceil(prefixTokens / kvPieceTokens), availablePieces));
		}
	}

	/** Evicts all cached prefixes. */
	clearCache(at: number): void {
		this.#emitCacheChanges(at, this.#cache.evictTo(0));
	}

	#freeCapacity(at: number, sequence: Sequence, mayPreempt: boolean): boolean {
		while (!this.#fits(sequence)) {
			const victim = mayPreempt ? this.#running.findLast(({work}) => work.priority === 1) : undefined;
			if (victim === undefined) {
				return false;
			}

			this.#preempt(at, victim);
		}

		return true;
	}

	#fits(sequence: Sequence): boolean {
		return this.#running.length < this.#options.maxSequences
			&& this.#reservedPieces + sequence.pieces <= this.#options.kvPieces;
	}

	#start(at: number, sequence: Sequence): void {
		const {prefix, prefixTokens = 0} = sequence.work;
		if (sequence.prefillLeft > 0 && prefix !== undefined && this.#cache.touch(prefix)) {
			sequence.cachedTokens = Math.min(prefixTokens, sequence.prefillLeft - 1);
			sequence.prefillLeft -= sequence.cachedTokens;
		}

		sequence.isRunning = true;
		this.#running.push(sequence);
		this.#reservedPieces += sequence.pieces;
		this.#emitCacheChanges(at, this.#cache.evictTo(this.#options.kvPieces - this.#reservedPieces));
	}

	/** Puts a running patient request back at the head of its queue; its KV cache is discarded and recomputed when it runs again. */
	#preempt(at: number, victim: Sequence): void {
		this.remove(victim);
		victim.prefillLeft = victim.work.promptTokens + victim.generated;
		this.#waiting[1].unshift(victim);
		this.#emit({
			kind: 'preempted', at, id: victim.work.id, generatedTokens: victim.generated,
		});
	}

	#emitCacheChanges(at: number, changes: readonly CacheChange[]): void {
		for (const {kind, prefix} of changes) {
			this.#cacheSequence += 1;
			this.#emit({
				kind, at, sequence: this.#cacheSequence, prefix,
			});
		}
	}
}
