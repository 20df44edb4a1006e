import {EngineBatch} from './engine-batch.ts';
import {engineDefaults, type EngineModelOptions} from './engine-options.ts';
import {
	kvPieceTokens, Sequence, type EngineEvent, type EngineLoad, type EngineRole, type EngineWork,
} from './engine-work.ts';

/** Consecutive steps of equal duration with the same requests. */
type Segment = {
	readonly start: number;
	readonly stepMs: number;
	readonly decoding: readonly Sequence[];
	readonly chunks: ReadonlyArray<readonly [Sequence, number]>;
	readonly steps: number;
};

/** Simulated model engine with continuous batching, in virtual time (milliseconds). */
export class EngineModel {
	readonly #options: Required<EngineModelOptions>;
	readonly #batch: EngineBatch;
	readonly #events: EngineEvent[] = [];
	#segment: Segment | undefined;
	#time = 0;
	#slowdown = 1;
	#role: EngineRole;
	#nextRole: EngineRole | undefined;
	#changeEndsAt: number | undefined;

	constructor(options: EngineModelOptions = {}) {
		this.#options = {...engineDefaults, ...options};
		this.#role = this.#options.role;
		this.#batch = new EngineBatch(this.#options, event => {
			this.#events.push(event);
		});
	}

	get role(): EngineRole {
		return this.#role;
	}

	/** Role after the pending change; the current role when none is pending. */
	get targetRole(): EngineRole {
		return this.#nextRole ?? this.#role;
	}

	/** `draining` while the engine finishes its requests before a role change. */
	get phase(): 'ready' | 'draining' | 'changing' {
		if (this.#changeEndsAt !== undefined) {
			return 'changing';
		}

		return this.#nextRole === undefined ? 'ready' : 'draining';
	}

	/** Load at the time of the last call. */
	get load(): EngineLoad {
		const {load} = this.#batch;
		const generated = this.#completedSteps * (this.#segment?.decoding.length ?? 0);
		return {...load, outstandingTokens: Math.max(0, load.outstandingTokens - generated)};
	}

	/** Tokens generated so far by each running request. */
	get progress(): ReadonlyMap<string, number> {
		const steps = this.#completedSteps;
		return new Map(this.#batch.running.map(({work, generated, prefillLeft}) =>
			[work.id, prefillLeft > 0 ? generated : generated + steps]));
	}

	/** Time of the next event; infinite when the engine is idle. */
	get nextTime(): number {
		if (this.#events.length > 0) {
			return this.#time;
		}

		return this.#changeEndsAt ?? (this.#segment === undefined ? Infinity : segmentEnd(this.#segment));
	}

	/** Time to transfer the KV cache of a prompt between engines, in milliseconds. */
	kvTransferMs(promptTokens: number): number {
		return Math.ceil(promptTokens / kvPieceTokens) * this.#options.kvTransferMsPerPiece;
	}

	/** Submits a request; false when the engine is changing its role or the request exceeds its KV memory. */
	submit(at: number, work: EngineWork): boolean {
		this.#run(at);
		const sequence = new Sequence(work);
		if (this.phase !== 'ready' || sequence.pieces > this.#options.kvPieces) {
			return false;
		}

		this.#batch.add(sequence);
		this.#truncateSegment();
		return true;
	}

	/** Cancels a request; returns the number of tokens that it has generated, or undefined for an unknown id. */
	cancel(at: number, id: string): number | undefined {
		this.#run(at);
		this.#truncateSegment();
		const generated = this.#batch.cancel(id);
		this.#startChangeWhenEmpty();
		return generated;
	}

	/** Multiplies the duration of all later steps. */
	setSlowdown(at: number, factor: number): void {
		this.#run(at);
		this.#truncateSegment();
		this.#slowdown = factor;
	}

	/** Finishes the running and waiting requests, then changes the role; refuses new requests until the change has ended. */
	changeRole(at: number, role: EngineRole): void {
		this.#run(at);
		this.#nextRole = role;
		this.#startChangeWhenEmpty();
	}

	/** Advances the virtual time and returns the events since the last call. */
	advance(to: number): readonly EngineEvent[] {
		this.#run(to);
		return this.#events.splice(0);
	}

	/** Number of completed steps of the current segment. */
	get #completedSteps(): number {
		return this.#segment === undefined ? 0 : Math.floor((this.#time - this.#segment.start) / this.#segment.stepMs);
	}

	#run(to: number): void {
		for (;;) {
			if (this.#changeEndsAt !== undefined) {
				if (this.#changeEndsAt > to) {
					break;
				}

				this.#finishChange(this.#changeEndsAt);
			}

			this.#segment ??= this.#beginSegment();
			if (this.#segment === undefined || segmentEnd(this.#segment) > to) {
				break;
			}

			this.#completeSegment(this.#segment);
		}

		this.#time = Math.max(this.#time, to);
	}

	/** Ends the segment at the end of the current step, so that a change of the requests or of the speed takes effect. */
	#truncateSegment(): void {
		if (this.#segment === undefined) {
			this.#segment = this.#beginSegment();
			return;
		}

		const {start, stepMs, steps} = this.#segment;
		const stepsSoFar = Math.max(1, Math.ceil((this.#time - start) / stepMs));
		this.#segment = {...this.#segment, steps: Math.min(steps, stepsSoFar)};
	}

	#beginSegment(): Segment | undefined {
		this.#batch.admit(this.#time);
		const {running} = this.#batch;
		if (running.length === 0) {
			return undefined;
		}

		const {mixedChunkTokens, prefillChunkTokens, stepBaseMs, stepPerSequenceMs, prefillMsPerToken} = this.#options;
		const decoding = running.filter(({prefillLeft}) => prefillLeft === 0);
		const chunks = this.#batch.planChunks(this.#role === 'prefill' ? prefillChunkTokens : mixedChunkTokens);
		const prefillTokens = chunks.reduce((sum, [, tokens]) => sum + tokens, 0);
		const workMs = (decoding.length * stepPerSequenceMs) + (prefillTokens * prefillMsPerToken);
		return {
			start: this.#time,
			stepMs: (stepBaseMs + workMs) * this.#slowdown,
			decoding,
			chunks,
			steps: this.#options.emitsTokenEvents || chunks.length > 0 ? 1 : minOutputLeft(decoding),
		};
	}

	#completeSegment(segment: Segment): void {
		this.#segment = undefined;
		this.#time = segmentEnd(segment);
		for (const [sequence, tokens] of segment.chunks) {
			sequence.prefillLeft -= tokens;
			if (sequence.prefillLeft === 0 && sequence.isRunning) {
				this.#batch.storePrefix(this.#time, sequence.work);
				this.#generate(sequence, 1);
			}
		}

		for (const sequence of segment.decoding) {
			this.#generate(sequence, segment.steps);
		}

		this.#startChangeWhenEmpty();
	}

	#generate(sequence: Sequence, tokens: number): void {
		if (!sequence.isRunning) {
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
		if (this.#options.emitsTokenEvents) {
			this.#events.push({
				kind: 'token', at, id, index: sequence.generated - 1,
			});
		}

		if (sequence.outputLeft <= 0) {
			this.#batch.remove(sequence);
			this.#events.push({
				kind: 'finished', at, id, generatedTokens: sequence.generated,
			});
		}
	}

	#startChangeWhenEmpty(): void {
		if (this.#nextRole !== undefined && this.#changeEndsAt === undefined && this.#batch.isEmpty) {
			this.#changeEndsAt = this.#time + this.#options.roleChangeMs;
			this.#segment = undefined;
		}
	}

	#finishChange(at: number): void {
		this.#time = at;
		this.#changeEndsAt = undefined;
		this.#role = this.#nextRole ?? this.#role;
		this.#nextRole = undefined;
		this.#batch.clearCache(at);
		this.#events.push({kind: 'role-changed', at, role: this.#role});
	}
}

function segmentEnd({start, stepMs, steps}: Segment): number {
	return start + (stepMs * steps);
}

function minOutputLeft(sequences: readonly Sequence[]): number {
	return Math.max(1, Math.min(...sequences.map(({outputLeft}) => outputLeft)));
}
