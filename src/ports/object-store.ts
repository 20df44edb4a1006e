import {Left, Right, type Either} from 'purify-ts';
import {request} from 'undici';
import {readBoundedBody} from '../connection/bounded-body.ts';
import {platformAgent} from '../connection/guarded-agent.ts';

/** Object as read from the store. */
export type StoredObject = {
	/** Changes on each write of the object. */
	readonly etag: string;
	readonly body: Uint8Array;
};

/** Reason why a call to the object store failed. Only `unknown` means that a write may have been applied. */
export type ObjectFailure
	= | {readonly kind: 'conflict'; readonly name: string}
		| {readonly kind: 'unavailable'; readonly message: string}
		| {readonly kind: 'unknown'; readonly message: string};

/** Precondition of a write: the ETag that must be current, or `absent` if the object must not exist. */
export type ObjectCondition = {readonly etag: string} | 'absent';

/** Object store of the platform. */
export abstract class ObjectStore {
	/** Reads an object; `undefined` if it does not exist. */
	abstract get(name: string): Promise<Either<ObjectFailure, StoredObject | undefined>>;

	/** Writes an object and returns its ETag; unconditional if `condition` is omitted. */
	abstract put(name: string, body: Uint8Array, condition?: ObjectCondition): Promise<Either<ObjectFailure, string>>;

	/** Deletes an object; succeeds if it does not exist. */
	abstract delete(name: string): Promise<Either<ObjectFailure, void>>;
}

const defaultTimeoutMs = 2000;
/** Largest object, in bytes; stored answers and plans are far smaller. */
const maxObjectBytes = 16 * 1024 * 1024;

/** Socket errors that occur before any byte of the request is sent. */
const notSentErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT']);

type ObjectResponse = {readonly status: number; readonly etag: string; readonly body: Uint8Array};

/** Object store accessed with `GET`, `PUT` and `DELETE` of `<base URL>/objects/<name>` with ETags. */
export class HttpObjectStore extends ObjectStore {
	readonly #url: string;
	readonly #timeoutMs: number;

	constructor(url: string, timeoutMs = defaultTimeoutMs) {
		super();
		this.#url = url.replace(/\/$/v, '');
		this.#timeoutMs = timeoutMs;
	}

	async get(name: string): Promise<Either<ObjectFailure, StoredObject | undefined>> {
		const reply = await this.#send('GET', name);
		return reply.chain<ObjectFailure, StoredObject | undefined>(({status, etag, body}) => {
			if (status === 404) {
				return Right(undefined);
			}

			return status === 200 ? Right({etag, body}) : Left(toObjectFailure(status, name));
		});
	}

	async put(name: string, body: Uint8Array, condition?: ObjectCondition): Promise<Either<ObjectFailure, string>> {
		const reply = await this.#send('PUT', name, {body, headers: toHeaders(condition)});
		return reply.chain(({status, etag}) => (status < 300 ? Right(etag) : Left(toObjectFailure(status, name))));
	}

	async delete(name: string): Promise<Either<ObjectFailure, void>> {
		const reply = await this.#send('DELETE', name);
		return reply.chain(({status}) => (status < 300 || status === 404
			? Right(undefined)
			: Left(toObjectFailure(status, name))));
	}

	async #send(
		method: 'GET' | 'PUT' | 'DELETE',
		name: string,
		content: {readonly body?: Uint8Array; readonly headers?: Record<string, string>} = {},
	): Promise<Either<ObjectFailure, ObjectResponse>> {
		const path = name.split('/').map(part => encodeURIComponent(part)).join('/');
		try {
			const response = await request(`${this.#url}/objects/${path}`, {
				method, ...content, signal: AbortSignal.timeout(this.#timeoutMs), dispatcher: platformAgent,
			});
			const body = await readBoundedBody(response.body, maxObjectBytes);
			return Right({status: response.statusCode, etag: String(response.headers.etag ?? ''), body});
		} catch (error) {
			const {code, message} = error as Error & {readonly code?: string};
			return Left({kind: code !== undefined && notSentErrorCodes.has(code) ? 'unavailable' : 'unknown', message});
		}
	}
}

function toHeaders(condition: ObjectCondition | undefined): Record<string, string> {
	if (condition === undefined) {
		return {};
	}

	return condition === 'absent' ? {'if-none-match': '*'} : {'if-match': condition.etag};
}

function toObjectFailure(status: number, name: string): ObjectFailure {
	if (status === 412) {
		return {kind: 'conflict', name};
	}

	// After a server error the write may have been applied; after a client error or throttling it was not.
	return {kind: status >= 500 ? 'unknown' : 'unavailable', message: `status ${status}`};
}
