import type {IncomingMessage} from 'node:http';
import {Left, Right, type Either} from 'purify-ts';
import {muteParser} from '../connection/request-parser.ts';
import {BlockBuffer} from './block-buffer.ts';
import type {BudgetRefusal, CallerBudget} from './caller-budget.ts';
import {createRefusal, type CallerError} from './caller-error.ts';

/** A request body; disposal returns its bytes to the budget. */
export type RequestBody = Disposable & {
	readonly bytes: Uint8Array;
};

/** Limits on reading a request body. */
export type BodyLimits = {
	/** Largest body of one request, in bytes. */
	readonly maxBodyBytes: number;
	/** Budget shared by all requests. */
	readonly budget: CallerBudget;
	/** Called when the request is refused because the budget is short. */
	readonly onRefused?: (reason: BudgetRefusal) => void;
};

/** True if the head of a request announces a body that has not been read completely. */
export function hasUnreadBody(request: IncomingMessage): boolean {
	return !request.complete && (request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0);
}

const tooLargeCode = 'body_too_large';
const smallPiecesCode = 'body_in_small_pieces';

/** True if the rest of the refused body is not read, so that its connection must close. */
export function isRestUnread({code}: CallerError): boolean {
	return code === tooLargeCode || code === smallPiecesCode;
}

/** Reads a request body within the limits; rejects when the caller disconnects early. The rest of a refused body is dropped. */
export async function readBody(request: IncomingMessage, limits: BodyLimits): Promise<Either<CallerError, RequestBody>> {
	const {maxBodyBytes, budget, onRefused} = limits;
	const declared = Number(request.headers['content-length'] ?? 0);
	if (declared > maxBodyBytes) {
		muteParser(request);
		return Left(createSizeRefusal(maxBodyBytes));
	}

	const {promise, resolve, reject} = Promise.withResolvers<Either<CallerError, RequestBody>>();
	const body = new BlockBuffer(declared > 0 ? declared : maxBodyBytes);
	const source = request.socket.remoteAddress ?? '';
	let isEnded = false;
	const account = budget.open(source, performance.now(), reason => {
		onRefused?.(reason);
		refuse(createBudgetRefusal(reason), reason === 'pieces');
	});
	const finish = () => {
		isEnded = true;
		request.off('data', read);
		request.off('end', end);
		request.off('close', fail);
	};

	const refuse = (error: CallerError, isRestUnreadable: boolean) => {
		if (isEnded) {
			return;
		}

		finish();
		budget.close(account);
		body.clear();
		if (isRestUnreadable) {
			muteParser(request);
		}

		dropRest(request, maxBodyBytes);
		resolve(Left(error));
	};

	const read = (chunk: Uint8Array) => {
		const now = performance.now();
		const reason = budget.countPiece(account, chunk.length, now);
		if (reason !== undefined) {
			account.refuse(reason);
		} else if (body.length + chunk.length > maxBodyBytes) {
			refuse(createSizeRefusal(maxBodyBytes), true);
		} else if (budget.take(account, body.capacityWith(chunk.length) - account.heldBytes, now)) {
			body.append(chunk);
		} else {
			account.refuse('memory');
		}
	};

	const end = () => {
		finish();
		budget.endReading(account);
		resolve(Right({
			bytes: body.take(),
			[Symbol.dispose]() {
				budget.close(account);
			},
		}));
	};

	const fail = () => {
		finish();
		budget.close(account);
		body.clear();
		reject(request.errored ?? new Error('The caller disconnected.'));
	};

	if (request.destroyed && !request.complete) {
		fail();
		return promise;
	}

	request.on('data', read);
	request.once('end', end);
	request.once('close', fail);
	return promise;
}

/** Drops the rest of a body, and closes the connection once that is longer than any body may be. */
export function dropRest(request: IncomingMessage, maxBodyBytes: number): void {
	let dropped = 0;
	request.on('data', (chunk: Uint8Array) => {
		dropped += Math.max(chunk.length, minCountedBytes);
		if (dropped > maxBodyBytes) {
			muteParser(request);
			request.socket.destroySoon();
		}
	});
	request.resume();
}

/** A piece that is dropped counts as at least so many bytes, for its cost. */
const minCountedBytes = 256;

function createSizeRefusal(limitBytes: number): CallerError {
	return createRefusal(413, tooLargeCode, `The body is larger than ${limitBytes} bytes.`);
}

const budgetMessages: Readonly<Record<BudgetRefusal, string>> = {
	memory: 'Too many request bodies are being received.',
	pieces: 'Too many request bodies are being received in small pieces.',
	stalled: 'The body has stopped arriving.',
};

function createBudgetRefusal(reason: BudgetRefusal): CallerError {
	return createRefusal(503, reason === 'pieces' ? smallPiecesCode : 'overloaded', budgetMessages[reason], 1);
}
