import {createHash} from 'node:crypto';
import {z} from 'zod';

const charactersPerToken = 4;
const maxPrefixCharacters = 4000;
const defaultMaxTokens = 16;

const schema = z.looseObject({
	model: z.string(),
	stream: z.boolean().default(false),
	max_tokens: z.number().int().positive().default(defaultMaxTokens),
	prompt: z.string().optional(),
	messages: z.array(z.looseObject({content: z.string()})).optional(),
	/** Number of tokens that the caller already has; generation resumes after them. */
	resume_from: z.number().int().nonnegative().default(0),
	/** Handle of an imported KV cache, with which no prefill is needed. */
	kv_handle: z.string().optional(),
});

/** A parsed completion request. */
export type CompletionInput = {
	readonly model: string;
	readonly isStreamed: boolean;
	readonly text: string;
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly resumeFrom: number;
	readonly kvHandle: string | undefined;
	/** Hash of the start of the prompt; its key in the prefix cache. */
	readonly prefix: string;
	readonly prefixTokens: number;
};

/** Parses the body of a completion request; throws when it is invalid. */
export function parseCompletionInput(body: string): CompletionInput {
	const input = schema.parse(JSON.parse(body));
	const text = input.prompt ?? (input.messages ?? []).map(message => message.content).join('\n');
	const promptTokens = Math.max(1, Math.ceil(text.length / charactersPerToken));
	const head = text.slice(0, maxPrefixCharacters);
	return {
		model: input.model,
		isStreamed: input.stream,
		text,
		promptTokens,
		outputTokens: input.max_tokens,
		resumeFrom: input.resume_from,
		kvHandle: input.kv_handle,
		prefix: createHash('sha256').update(head).digest('hex').slice(0, 16),
		prefixTokens: Math.floor(head.length / charactersPerToken),
	};
}
