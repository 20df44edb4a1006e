import type {ServerResponse} from 'node:http';
import {sendAnswer} from '../stand-in-server.ts';
import type {CompletionInput} from './completion-input.ts';
import type {EngineDriver} from './engine-driver.ts';
import type {EngineWork} from './engine-work.ts';

/** Options for running one completion. */
export type CompletionOptions = {
	readonly id: string;
	readonly priority: 0 | 1;
	/** True when the KV cache of the prompt has been imported. */
	readonly isKvImported: boolean;
	/** Ends the stream without `[DONE]` after this number of tokens; 0 turns the fault off. */
	readonly truncateAfterTokens: number;
	readonly isChat: boolean;
};

/** Converts a completion request into work for the engine model. */
export function createWork(input: CompletionInput, options: CompletionOptions): EngineWork {
	return {
		id: options.id,
		promptTokens: input.promptTokens,
		outputTokens: input.outputTokens,
		priority: options.priority,
		prefix: input.prefix,
		prefixTokens: input.prefixTokens,
		generatedTokens: input.resumeFrom,
		isKvImported: options.isKvImported,
	};
}

/** Returns the text of the generated token at an index. */
export function tokenText(index: number): string {
	return `token${index} `;
}

/** Runs a completion and sends it as an event stream or as one JSON body; cancels the work when the caller disconnects. */
export async function runCompletion(
	driver: EngineDriver,
	input: CompletionInput,
	options: CompletionOptions,
	response: ServerResponse,
): Promise<void> {
	const {promise, resolve} = Promise.withResolvers<void>();
	const isAccepted = driver.submit(createWork(input, options), event => {
		if (event.kind === 'token' && input.isStreamed) {
			writeToken(response, input, options, event.index);
		}

		if (event.kind === 'finished') {
			finish(response, input, options);
			resolve();
		}
	});
	if (!isAccepted) {
		sendAnswer(response, {status: 503, body: {error: {code: 'not_accepted', message: 'The engine takes no work now.'}}});
		return;
	}

	response.once('close', () => {
		driver.cancel(options.id);
		resolve();
	});
	await promise;
}

function writeToken(response: ServerResponse, input: CompletionInput, options: CompletionOptions, index: number): void {
	if (!response.headersSent) {
		response.writeHead(200, {'content-type': 'text/event-stream'});
	}

	if (options.truncateAfterTokens > 0 && index >= options.truncateAfterTokens) {
		response.end();
		return;
	}

	const part = options.isChat ? {delta: {content: tokenText(index)}} : {text: tokenText(index)};
	const chunk = {
		id: options.id,
		object: options.isChat ? 'chat.completion.chunk' : 'text_completion',
		model: input.model,
		choices: [{index: 0, ...part, finish_reason: null}],
	};
	response.write(`data: ${JSON.stringify(chunk)}\n\n`);
}

function finish(response: ServerResponse, input: CompletionInput, options: CompletionOptions): void {
	if (response.writableEnded) {
		return;
	}

	if (input.isStreamed) {
		response.end('data: [DONE]\n\n');
		return;
	}

	const length = input.outputTokens - input.resumeFrom;
	const text = Array.from({length}, (_, index) => tokenText(input.resumeFrom + index)).join('');
	const part = options.isChat ? {message: {role: 'assistant', content: text}} : {text};
	sendAnswer(response, {
		status: 200,
		body: {
			id: options.id,
			object: options.isChat ? 'chat.completion' : 'text_completion',
			model: input.model,
			choices: [{index: 0, ...part, finish_reason: 'stop'}],
			usage: {prompt_tokens: input.promptTokens, completion_tokens: length},
		},
	});
}
