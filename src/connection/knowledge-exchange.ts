import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Left, type Either} from 'purify-ts';
import {
	array, boolean, Codec, number, optional, string, type GetType,
} from 'purify-ts/Codec';
import type {Knowledge} from '../process/fleet/inheritance.ts';
import {fetchAnswer} from './row-exchange.ts';

const knowledgeCodec = Codec.interface({
	/** Base64. */
	configuration: optional(string),
	pastEntries: array(Codec.interface({
		id: string,
		startedAt: optional(number),
		heartbeatCount: number,
		isDraining: boolean,
		isGone: boolean,
	})),
});

const knowledgePath = '/knowledge';

/** Fetches what another daemon knows; a failure is a short message. */
export async function fetchKnowledge(address: string): Promise<Either<string, Knowledge>> {
	try {
		const body = await fetchAnswer(address, knowledgePath);
		return knowledgeCodec.decode(JSON.parse(body)).map(({configuration, pastEntries}) => ({
			configuration: configuration === undefined ? undefined : Buffer.from(configuration, 'base64'),
			pastEntries: pastEntries.map(entry => ({...entry, startedAt: entry.startedAt})),
		}));
	} catch (error) {
		return Left(error instanceof Error ? error.message : String(error));
	}
}

/** Answers a request for what this daemon knows; returns false if the request is for something else. */
export function serveKnowledge(request: IncomingMessage, response: ServerResponse, knowledge: () => Knowledge): boolean {
	if (request.url !== knowledgePath) {
		return false;
	}

	const {configuration, pastEntries} = knowledge();
	const answer: GetType<typeof knowledgeCodec> = {
		configuration: configuration === undefined ? undefined : Buffer.from(configuration).toString('base64'),
		pastEntries: pastEntries.map(entry => ({...entry})),
	};
	response.setHeader('connection', 'close');
	response.end(JSON.stringify(answer));
	return true;
}
