import type {EngineRole} from './engine-work.ts';

/** Speed and memory of a simulated engine. */
export type EngineModelOptions = {
	/** @default 'mixed' */
	readonly role?: EngineRole;
	/** Base duration of a step, in milliseconds. @default 12 */
	readonly stepBaseMs?: number;
	/** Time that each decoding request adds to a step, in milliseconds. @default 0.25 */
	readonly stepPerSequenceMs?: number;
	/** Time that each prompt token adds to a step, in milliseconds. @default 0.04 */
	readonly prefillMsPerToken?: number;
	/** Maximum prompt tokens in one step of an engine in the mixed or decode role. @default 512 */
	readonly mixedChunkTokens?: number;
	/** Maximum prompt tokens in one step of an engine in the prefill role. @default 4096 */
	readonly prefillChunkTokens?: number;
	/** Maximum number of concurrent requests. @default 64 */
	readonly maxSequences?: number;
	/** KV memory in pieces of 1000 tokens. @default 400 */
	readonly kvPieces?: number;
	/** Time without service during a role change, in milliseconds. @default 5000 */
	readonly roleChangeMs?: number;
	/** Time to transfer one piece of KV memory to another engine, in milliseconds. @default 2 */
	readonly kvTransferMsPerPiece?: number;
	/** Emits an event for each token. @default false */
	readonly emitsTokenEvents?: boolean;
};

/** Defaults of the engine options. */
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
