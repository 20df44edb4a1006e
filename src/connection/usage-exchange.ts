import type {IncomingMessage, ServerResponse} from 'node:http';
import {Left, type Either} from 'purify-ts';
import {
	array, Codec, number, record, string, tuple, type GetType,
} from 'purify-ts/Codec';
import type {UsageSnapshot} from '../process/usage/usage-ledger.ts';
import {fetchAnswer} from './row-exchange.ts';

/** Request of the holder of duties for the counts of another daemon. */
export type UsageQuery = {
	/** First window of interest. */
	readonly from: number;
	/** Time of day on which the daemons agree, at the moment at which the request arrives, in milliseconds; undefined while the holder has not estimated it. */
	readonly time: number | undefined;
};

/** Answer to such a request. */
export type UsageAnswer = UsageSnapshot & {
	/** The daemon's own time of day, in milliseconds. */
	readonly timeOfDay: number;
};

const answerCodec = Codec.interface({
	instance: string,
	firstWindow: number,
	timeOfDay: number,
	/** Number of each window, with the runs of each client account. */
	windows: array(tuple([number, record(string, number)])),
});

const usagePath = '/usage-counts';

/** Fetches the counts of another daemon; a failure is a short message. */
export async function fetchUsage(address: string, {from, time}: UsageQuery): Promise<Either<string, UsageAnswer>> {
	const query = new URLSearchParams({from: String(from), ...(time === undefined ? {} : {time: time.toFixed(1)})});
	try {
		const body = await fetchAnswer(address, `${usagePath}?${query.toString()}`);
		return answerCodec.decode(JSON.parse(body)).map(({windows, ...answer}) => ({
			...answer, windows: new Map(windows.map(([window, counts]) => [window, new Map(Object.entries(counts))])),
		}));
	} catch (error) {
		return Left(error instanceof Error ? error.message : String(error));
	}
}

/** Answers a request for the counts of this daemon; returns false if the request is for something else. */
export function serveUsage(request: IncomingMessage, response: ServerResponse, answer: (query: UsageQuery) => UsageAnswer): boolean {
	const [path, text = ''] = (request.url ?? '/').split('?', 2);
	if (path !== usagePath) {
		return false;
	}

	const parameters = new URLSearchParams(text);
	const from = Number(parameters.get('from') ?? Number.NaN);
	const timeText = parameters.get('time');
	const time = timeText === null ? undefined : Number(timeText);
	response.setHeader('connection', 'close');
	if (Number.isFinite(from) && (time === undefined || Number.isFinite(time))) {
		const {windows, ...snapshot} = answer({from, time});
		const body: GetType<typeof answerCodec> = {...snapshot, windows: [...windows].map(([window, counts]) => [window, Object.fromEntries(counts)])};
		response.end(JSON.stringify(body));
	} else {
		response.statusCode = 400;
		response.end();
	}

	return true;
}
