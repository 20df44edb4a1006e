/** Inference stages that an engine runs; `mixed` runs both. */
export type EngineRole = 'prefill' | 'decode' | 'mixed';

/** One request to a simulated engine. */
export type EngineWork = {
	readonly id: string;
	readonly promptTokens: number;
	/** Total number of tokens to generate, including `generatedTokens`; 1 for a prefill whose KV cache is exported. */
	readonly outputTokens: number;
	/** 0 for live work, 1 for patient work. */
	readonly priority: 0 | 1;
	/** Key of the prompt's shared prefix in the cache. */
	readonly prefix?: string;
	/** Length of the shared prefix, in tokens. @default 0 */
	readonly prefixTokens?: number;
	/** Tokens generated before this run, for a resumed or imported request. @default 0 */
	readonly generatedTokens?: number;
	/** True when the KV cache was imported, so that no prefill is needed. @default false */
	readonly isKvImported?: boolean;
};

/** Event of a simulated engine; `at` is the time in milliseconds. */
export type EngineEvent
	= | {readonly kind: 'first-token'; readonly at: number; readonly id: string; readonly cachedTokens: number}
		| {readonly kind: 'token'; readonly at: number; readonly id: string; readonly index: number}
		| {readonly kind: 'finished'; readonly at: number; readonly id: string; readonly generatedTokens: number}
		| {readonly kind: 'preempted'; readonly at: number; readonly id: string; readonly generatedTokens: number}
		| {readonly kind: 'role-changed'; readonly at: number; readonly role: EngineRole}
		| {readonly kind: 'stored' | 'evicted'; readonly at: number; readonly sequence: number; readonly prefix: string};

/** Load that an engine reports. */
export type EngineLoad = {
	readonly running: number;
	readonly waiting: number;
	/** Prompt tokens that wait for prefill plus tokens that remain to be generated. */
	readonly outstandingTokens: number;
	readonly kvPiecesUsed: number;
	readonly kvPiecesTotal: number;
};

/** Tokens in one piece of KV memory. */
export const kvPieceTokens = 1000;

/** Progress of one request in an engine. */
export class Sequence {
	readonly work: EngineWork;
	/** Tokens that remain to be prefilled. */
	prefillLeft: number;
	generated: number;
	cachedTokens = 0;
	/** False while the request waits, and after it was finished, preempted or cancelled. */
	isRunning = false;

	constructor(work: EngineWork) {
		this.work = work;
		this.generated = work.generatedTokens ?? 0;
		this.prefillLeft = work.isKvImported === true ? 0 : work.promptTokens + this.generated;
	}

	/** Pieces of KV memory reserved for the prompt and the whole output. */
	get pieces(): number {
		return Math.ceil((this.work.promptTokens + this.work.outputTokens) / kvPieceTokens);
	}

	/** Tokens that remain to be generated. */
	get outputLeft(): number {
		return this.work.outputTokens - this.generated;
	}
}
