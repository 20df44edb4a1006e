/** Part of the work that an engine takes. */
export type EngineRole = 'prefill' | 'decode' | 'mixed';

/** One request as an engine runs it. */
export type EngineWork = {
	readonly id: string;
	readonly promptTokens: number;
	/** Tokens to generate in all; 1 for a prefill whose KV cache is exported. */
	readonly outputTokens: number;
	/** 0 for live work, 1 for patient work. */
	readonly priority: 0 | 1;
	/** Name of the prompt's shared prefix. */
	readonly prefix?: string;
	/** Length of the shared prefix. @default 0 */
	readonly prefixTokens?: number;
	/** Tokens generated before this run, for a resumed or imported request. @default 0 */
	readonly generatedTokens?: number;
	/** True when the KV cache was imported, so that no prefill is needed. @default false */
	readonly isKvImported?: boolean;
};

/** What an engine did, in order of time (milliseconds). */
export type EngineEvent
	= | {readonly kind: 'first-token'; readonly at: number; readonly id: string; readonly cachedTokens: number}
		| {readonly kind: 'token'; readonly at: number; readonly id: string; readonly index: number}
		| {readonly kind: 'finished'; readonly at: number; readonly id: string; readonly generatedTokens: number}
		| {readonly kind: 'preempted'; readonly at: number; readonly id: string; readonly generatedTokens: number}
		| {readonly kind: 'role-changed'; readonly at: number; readonly role: EngineRole}
		| {readonly kind: 'stored' | 'evicted'; readonly at: number; readonly sequence: number; readonly prefix: string};

/** Load as an engine reports it. */
export type EngineLoad = {
	readonly running: number;
	readonly waiting: number;
	/** Prompt tokens to process and tokens to generate. */
	readonly outstandingTokens: number;
	readonly kvPiecesUsed: number;
	readonly kvPiecesTotal: number;
};

/** Tokens in one piece of KV memory. */
export const kvPieceTokens = 1000;

/** A request in an engine. */
export class Sequence {
	readonly work: EngineWork;
	/** Prompt tokens that remain to be processed. */
	prefillLeft: number;
	generated: number;
	cachedTokens = 0;
	/** False once it is finished, preempted or cancelled. */
	isRunning = false;

	constructor(work: EngineWork) {
		this.work = work;
		this.generated = work.generatedTokens ?? 0;
		this.prefillLeft = work.isKvImported === true ? 0 : work.promptTokens + this.generated;
	}

	/** Pieces of KV memory reserved for the whole request. */
	get pieces(): number {
		return Math.ceil((this.work.promptTokens + this.work.outputTokens) / kvPieceTokens);
	}

	/** Tokens that remain to be generated. */
	get outputLeft(): number {
		return this.work.outputTokens - this.generated;
	}
}
