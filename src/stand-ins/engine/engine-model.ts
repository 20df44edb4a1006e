import {
	kvPieceTokens, Sequence, type EngineEvent, type EngineLoad, type EngineRole, type EngineWork,
} from './engine-work.ts';
import {PrefixCache, type CacheChange} from './prefix-cache.ts';

/** Speed and size of a modelled engine. */
export type EngineModelOptions = {
	/** @default 'mixed' */
	readonly role?: EngineRole;
	/** Time of a step without work, in milliseconds. @default 12 */
	readonly stepBaseMs?: number;
	/** Time that each generating request adds to a step. @default 0.25 */
	readonly stepPerSequenceMs?: number;
	/** Time that each prompt token adds to a step. @default 0.04 */
	readonly prefillMsPerToken?: number;
	/** Prompt tokens in one step next to generating requests. @default 512 */
	readonly mixedChunkTokens?: number;
	/** Prompt tokens in one step of an engine in the prefill role. @default 4096 */
	readonly prefillChunkTokens?: number;
	/** Requests that run at the same time. @default 64 */
	readonly maxSequences?: number;
	/** KV memory in pieces of 1000 tokens. @default 400 */
	readonly kvPieces?: number;
	/** Time without service during a role change. @default 5000 */
	readonly roleChangeMs?: number;
	/** Time to export and import one piece of KV memory. @default 2 */
	readonly kvTransferMsPerPiece?: number;
	/** Emits one event for each token. @default false */
	readonly tokenEvents?: boolean;
};

/** Steps of equal length with the same requests. */
type Segment = {
	readonly start: number;
	readonly stepMs: number;
	readonly decoding: readonly Sequence[];
	readonly chunks: ReadonlyArray<readonly [Sequence, number]>;
	steps: number;
};

const defaults = {
	role: 'mixed' as EngineRole,
	stepBaseMs: 12,
	stepPerSequenceMs: 0.25,
	prefillMsPerToken: 0.04,
	mixedChunkTokens: 512,
	prefillChunkTokens: 4096,
	maxSequences: 64,
	kvPieces: 400,
	roleChangeMs: 5000,
	kvTransferMsPerPiece: 2,
	tokenEvents: false,
};

/** Model engine with continuous batching, in virtual time (milliseconds). */
export class EngineModel {
	readonly #options: Required<EngineModelOptions>;
	readonly #cache = new PrefixCache();
	readonly #waiting: readonly [Sequence[], Sequence[]] = [[], []];
	#running: Sequence[] = [];
	#runningPieces = 0;
	#events: EngineEvent[] = [];
	#segment: Segment | undefined;
	#time = 0;
	#slowdown = 1;
	#cacheSequence = 0;
	#role: EngineRole;
	#nextRole: EngineRole | undefined;
	#changeEnd: number | undefined;

	constructor(options: EngineModelOptions = {}) {
		this.#options = {...defaults, ...options};
		this.#role = this.#options.role;
	}

	get role(): EngineRole {
		return this.#role;
	}

	/** Ready, finishing its work before a role change, or changing. */
	get phase(): 'ready' | 'draining' | 'changing' {
		if (this.#changeEnd !== undefined) {
			return 'changing';
		}

		return this.#nextRole === undefined ? 'ready' : 'draining';
	}

	/** Load at the time of the last call. */
	get load(): EngineLoad {
		const [live, patient] = this.#waiting;
		let outstandingTokens = 0;
		for (const sequence of [...this.#running, ...live, ...patient]) {
			outstandingTokens += sequence.prefillLeft + sequence.outputLeft;
		}

		return {
			running: this.#running.length,
			waiting: live.length + patient.length,
			outstandingTokens,
			kvPiecesUsed: this.#runningPieces + this.#cache.used,
			kvPiecesTotal: this.#options.kvPieces,
		};
	}

	/** Time of the next change; infinite when nothing is to be done. */
	get nextTime(): number {
		if (this.#events.length > 0) {
			return this.#time;
		}

		return this.#changeEnd ?? (this.#segment === undefined ? Infinity : segmentEnd(this.#segment));
	}

	/** Time to move the KV cache of a prompt between engines. */
	kvTransferMs(promptTokens: number): number {
		return Math.ceil(promptTokens / kvPieceTokens) * this.#options.kvTransferMsPerPiece;
	}

	/** Adds work; false when the engine takes none because of a role change or because it can never fit. */
	submit(at: number, work: EngineWork): boolean {
		this.#run(at);
		const sequence = new Sequence(work);
		if (this.phase !== 'ready' || sequence.pieces > this.#options.kvPieces) {
			return false;
		}

		this.#waiting[work.priority].push(sequence);
		this.#cutSegment();
		return true;
	}

	/** Drops a request; returns the tokens that it has generated, or undefined when it is not here. */
	cancel(at: number, id: string): number | undefined {
		this.#run(at);
		this.#cutSegment();
		for (const queue of this.#waiting) {
			const index = queue.findIndex(sequence => sequence.work.id === id);
			if (index !== -1) {
				return queue.splice(index, 1)[0]?.generated;
			}
		}

		const sequence = this.#running.find(({work}) => work.id === id);
		if (sequence !== undefined) {
			this.#remove(sequence);
			this.#startChangeWhenEmpty();
		}

		return sequence?.generated;
	}

	/** Multiplies the time of each further step. */
	setSlowdown(at: number, factor: number): void {
		this.#run(at);
		this.#cutSegment();
		this.#slowdown = factor;
	}

	/** Finishes the work at hand, then changes role; no new work is taken until the change ends. */
	changeRole(at: number, role: EngineRole): void {
		this.#run(at);
		this.#nextRole = role;
		this.#startChangeWhenEmpty();
	}

	/** Moves to a time and returns what happened since the last call. */
	advance(to: number): readonly EngineEvent[] {
		this.#run(to);
		const events = this.#events;
		this.#events = [];
		return events;
	}

	#run(to: number): void {
		for (;;) {
			if (this.#changeEnd !== undefined) {
				if (this.#changeEnd > to) {
					break;
				}

				this.#finishChange(this.#changeEnd);
			}

			this.#segment ??= this.#beginSegment();
			if (this.#segment === undefined || segmentEnd(this.#segment) > to) {
				break;
			}

			this.#completeSegment(this.#segment);
		}

		this.#time = Math.max(this.#time, to);
	}

	/** Ends the segment at the next step so that a change takes effect. */
	#cutSegment(): void {
		this.#segment ??= this.#beginSegment();
		if (this.#segment !== undefined) {
			const {start, stepMs, steps} = this.#segment;
			this.#segment.steps = Math.min(steps, Math.max(1, Math.ceil((this.#time - start) / stepMs)));
		}
	}

	#beginSegment(): Segment | undefined {
		this.#admit();
		if (this.#running.length === 0) {
			return undefined;
		}

		const decoding = this.#running.filter(({prefillLeft}) => prefillLeft === 0);
		const chunks = this.#planChunks();
		const prefillTokens = chunks.reduce((sum, [, tokens]) => sum + tokens, 0);
		const {stepBaseMs, stepPerSequenceMs, prefillMsPerToken, tokenEvents} = this.#options;
		const workMs = (decoding.length * stepPerSequenceMs) + (prefillTokens * prefillMsPerToken);
		const steps = tokenEvents || chunks.length > 0
			? 1
			: Math.min(...decoding.map(({outputLeft}) => outputLeft));
		return {
			start: this.#time, stepMs: (stepBaseMs + workMs) * this.#slowdown, decoding, chunks, steps: Math.max(1, steps),
		};
	}

	/** Shares the prompt tokens of one step, live work first and then in order of arrival. */
	#planChunks(): ReadonlyArray<readonly [Sequence, number]> {
		const {prefillChunkTokens, mixedChunkTokens} = this.#options;
		let room = this.#role === 'prefill' ? prefillChunkTokens : mixedChunkTokens;
		const chunks: Array<readonly [Sequence, number]> = [];
		for (const priority of [0, 1]) {
			for (const sequence of this.#running) {
				if (room > 0 && sequence.work.priority === priority && sequence.prefillLeft > 0) {
					const tokens = Math.min(room, sequence.prefillLeft);
					chunks.push([sequence, tokens]);
					room -= tokens;
				}
			}
		}

		return chunks;
	}

	#completeSegment(segment: Segment): void {
		this.#segment = undefined;
		this.#time = segmentEnd(segment);
		for (const [sequence, tokens] of segment.chunks) {
			sequence.prefillLeft -= tokens;
			if (sequence.prefillLeft === 0) {
				this.#storePrefix(sequence.work);
				this.#generate(sequence, 1);
			}
		}

		for (const sequence of segment.decoding) {
			this.#generate(sequence, segment.steps);
		}

		this.#startChangeWhenEmpty();
	}

	#generate(sequence: Sequence, tokens: number): void {
		if (!this.#running.includes(sequence)) {
			return;
		}

		const {work: {id}, cachedTokens} = sequence;
		const at = this.#time;
		if (sequence.generated === 0) {
			this.#events.push({
				kind: 'first-token', at, id, cachedTokens,
			});
		}

		sequence.generated += tokens;
		if (this.#options.tokenEvents) {
			this.#events.push({
				kind: 'token', at, id, index: sequence.generated - 1,
			});
		}

		if (sequence.outputLeft <= 0) {
			this.#remove(sequence);
			this.#events.push({
				kind: 'finished', at, id, generatedTokens: sequence.generated,
			});
		}
	}

	#admit(): void {
		for (const [priority, queue] of this.#waiting.entries()) {
			for (let next = queue[0]; next !== undefined; next = queue[0]) {
				if (!this.#makeRoom(next, priority === 0)) {
					return;
				}

				queue.shift();
				this.#start(next);
			}
		}
	}

	#makeRoom(sequence: Sequence, mayPreempt: boolean): boolean {
		while (!this.#fits(sequence)) {
			const victim = mayPreempt ? this.#running.findLast(({work}) => work.priority === 1) : undefined;
			if (victim === undefined) {
				return false;
			}

			this.#preempt(victim);
		}

		return true;
	}

	#fits(sequence: Sequence): boolean {
		return this.#running.length < this.#options.maxSequences
			&& this.#runningPieces + sequence.pieces <= this.#options.kvPieces;
	}

	#start(sequence: Sequence): void {
		const {prefix, prefixTokens = 0} = sequence.work;
		if (sequence.prefillLeft > 0 && prefix !== undefined && this.#cache.touch(prefix)) {
			sequence.cachedTokens = Math.min(prefixTokens, sequence.prefillLeft - 1);
			sequence.prefillLeft -= sequence.cachedTokens;
		}

		this.#running.push(sequence);
		this.#runningPieces += sequence.pieces;
		this.#recordCache(this.#cache.shrink(this.#options.kvPieces - this.#runningPieces));
	}

	/** Returns a patient request to the queue; its KV cache is lost and computed again. */
	#preempt(victim: Sequence): void {
		this.#remove(victim);
		victim.prefillLeft = victim.work.promptTokens + victim.generated;
		this.#waiting[1].unshift(victim);
		this.#events.push({
			kind: 'preempted', at: this.#time, id: victim.work.id, generatedTokens: victim.generated,
		});
	}

	#remove(sequence: Sequence): void {
		this.#running = this.#running.filter(other => other !== sequence);
		this.#runningPieces -= sequence.pieces;
	}

	#storePrefix({prefix, prefixTokens = 0}: EngineWork): void {
		if (prefix !== undefined && prefixTokens > 0) {
			const room = this.#options.kvPieces - this.#runningPieces;
			this.#recordCache(this.#cache.store(prefix, Math.ceil(prefixTokens / kvPieceTokens), room));
		}
	}

	#recordCache(changes: readonly CacheChange[]): void {
		for (const {kind, prefix} of changes) {
			this.#cacheSequence += 1;
			this.#events.push({
				kind, at: this.#time, sequence: this.#cacheSequence, prefix,
			});
		}
	}

	#startChangeWhenEmpty(): void {
		const isEmpty = this.#running.length === 0 && this.#waiting.every(queue => queue.length === 0);
		if (this.#nextRole !== undefined && this.#changeEnd === undefined && isEmpty) {
			this.#changeEnd = this.#time + this.#options.roleChangeMs;
		}
	}

	#finishChange(at: number): void {
		this.#time = at;
		this.#changeEnd = undefined;
		this.#role = this.#nextRole ?? this.#role;
		this.#nextRole = undefined;
		this.#recordCache(this.#cache.shrink(0));
		this.#events.push({kind: 'role-changed', at, role: this.#role});
	}
}

function segmentEnd({start, stepMs, steps}: Segment): number {
	return start + (stepMs * steps);
}
