import {Buffer} from 'node:buffer';
import {get, type IncomingMessage, type ServerResponse} from 'node:http';
import {Left, type Either} from 'purify-ts';
import {
	array, boolean, Codec, number, optional, string, type GetType,
} from 'purify-ts/Codec';
import type {TableDelta} from '../process/tables/table-copy.ts';
import type {TablePosition} from '../process/tables/table-position.ts';
import {parseAddress} from '../process/address.ts';
import {ByteBuffer} from '../request/byte-buffer.ts';

/** Answer of a reader to another daemon that lacks rows. */
export type SharedRows = TableDelta & {
	readonly digest: number;
	/** Time since the store confirmed the position, in milliseconds. */
	readonly ageMs: number;
	/** Time since the store was available again after an outage, in milliseconds; undefined if the reader saw no outage. */
	readonly recoveredMs: number | undefined;
};

const answerCodec = Codec.interface({
	version: number,
	/** Missing if the store names no epoch, and in the answers of earlier releases. */
	epoch: optional(number),
	digest: number,
	ageMs: number,
	recoveredMs: optional(number),
	isWhole: boolean,
	rows: array(Codec.interface({
		key: string,
		/** Base64; missing if the row was removed or has no value. */
		value: optional(string),
		isRemoved: optional(boolean),
	})),
});

/** Time for a daemon of the same deployment to answer, in milliseconds. */
const fetchTimeoutMs = 500;
/** Largest answer that is read; a list of 12,000 upstreams takes a third of it. */
const maxAnswerBytes = 16 * 1024 * 1024;
const decoder = new TextDecoder();
const pathPrefix = '/tables/';

/** Fetches the rows of a table that changed after a position from another daemon; a failure is a short message. */
export async function fetchSharedRows(address: string, table: string, after: TablePosition | undefined): Promise<Either<string, SharedRows>> {
	const path = `${pathPrefix}${encodeURIComponent(table)}${after === undefined ? '' : `?${formatPosition(after)}`}`;
	try {
		const body = await fetchAnswer(address, path);
		return answerCodec.decode(JSON.parse(body)).map(answer => decodeAnswer(answer));
	} catch (error) {
		return Left(error instanceof Error ? error.message : String(error));
	}
}

/** Answers another daemon's request for rows; `share` returns undefined for a table that this daemon does not read. */
export function serveSharedRows(request: IncomingMessage, response: ServerResponse, share: (table: string, after: TablePosition | undefined) => SharedRows | undefined): void {
	const target = parseTarget(request.url ?? '/');
	const shared = target === undefined ? undefined : share(target.table, target.after);
	response.statusCode = shared === undefined ? 404 : 200;
	response.setHeader('connection', 'close');
	response.end(shared === undefined ? '' : JSON.stringify(encodeAnswer(shared)));
}

/** Returns the table and position of a request's target; undefined if it names no table or cannot be decoded. */
function parseTarget(target: string): {readonly table: string; readonly after: TablePosition | undefined} | undefined {
	const [path = '', query = ''] = target.split('?', 2);
	if (!path.startsWith(pathPrefix)) {
		return undefined;
	}

	const parameters = new URLSearchParams(query);
	const version = parameters.get('after');
	const epoch = parameters.get('epoch');
	try {
		return {
			table: decodeURIComponent(path.slice(pathPrefix.length)),
			after: version === null ? undefined : {epoch: epoch === null ? undefined : Number(epoch), version: Number(version)},
		};
	} catch {
		return undefined;
	}
}

function formatPosition({epoch, version}: TablePosition): string {
	return new URLSearchParams({after: String(version), ...(epoch === undefined ? {} : {epoch: String(epoch)})}).toString();
}

function encodeAnswer({rows, position: {epoch, version}, ...rest}: SharedRows): GetType<typeof answerCodec> {
	return {
		...rest,
		version,
		epoch,
		rows: rows.map(({key, value, isRemoved}) => ({
			key,
			value: value === undefined ? undefined : Buffer.from(value).toString('base64'),
			isRemoved: isRemoved || undefined,
		})),
	};
}

function decodeAnswer({rows, epoch, version, ...rest}: GetType<typeof answerCodec>): SharedRows {
	return {
		...rest,
		position: {epoch, version},
		recoveredMs: rest.recoveredMs,
		rows: rows.map(({key, value, isRemoved}) => ({
			key, value: value === undefined ? undefined : Buffer.from(value, 'base64'), isRemoved: isRemoved ?? false,
		})),
	};
}

/** Fetches the body of another daemon's answer; rejects unless it is complete, in time and has status 200. */
export async function fetchAnswer(address: string, path: string): Promise<string> {
	const {host, port} = parseAddress(address);
	const {promise, resolve, reject} = Promise.withResolvers<string>();
	const request = get({
		host, port, path, agent: false,
	}, response => {
		const body = new ByteBuffer();
		response.on('data', (chunk: Uint8Array) => {
			body.append(chunk);
			if (body.length > maxAnswerBytes) {
				request.destroy(new Error('the answer is too large'));
			}
		});
		response.once('end', () => {
			if (response.statusCode === 200 && response.complete) {
				resolve(decoder.decode(body.bytes));
			} else {
				reject(new Error(`status ${response.statusCode}`));
			}
		});
		response.once('error', reject);
	});
	request.once('error', reject);
	const timer = setTimeout(() => {
		request.destroy(new Error(`no answer within ${fetchTimeoutMs} ms`));
	}, fetchTimeoutMs);
	try {
		return await promise;
	} finally {
		clearTimeout(timer);
	}
}
