import type {EngineRole} from './engine-work.ts';

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
	readonly emitsTokenEvents?: boolean;
};

/** Values of options that are not given. */
export const engineDefaults: Required<EngineModelOptions> = {
	role: 'mixed',
	stepBaseMs: 12,
	stepPerSequenceMs: 0.25,
	prefillMsPerToken: 0.04,
	mixedChunkTokens: 512,
	prefillChunkTokens: 4096,
	maxSequences: 64,
	kvPieces: 400,
	roleChangeMs: 5000,
	kvTransferMsPerPiece: 2,
	emitsTokenEvents: false,
};
