import type {Prompt} from '../../request/delivery/route-request.ts';

/** Work of generating one token, in weighted prompt tokens: one step of an engine, divided among the requests that share it, takes about as long as these. */
const outputTokenWork = 4;

/** Work of a plain request: plain services tell nothing about the size of requests. */
export const plainWork = 1;

/** Work of a model request in weighted tokens: those of its prompt that no engine has cached, and those of its answer. */
export function promptWork(weightedTokens: number, {maxOutputTokens}: Pick<Prompt, 'maxOutputTokens'>): number {
	return weightedTokens + (maxOutputTokens * outputTokenWork);
}
