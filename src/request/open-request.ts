import type {CallerAnswer} from '../connection/links/caller-answer.ts';
import type {DeliveryResult} from './delivery/delivery.ts';

/**
How a request ended.

`handlerError`: the daemon itself failed. `refusedUnread`: refused before its body had been read completely.
`connectionClosing`: read after the response that announced the close of its connection, so that it was ignored.
*/
export type RequestOutcome = DeliveryResult['outcome'] | 'handlerError' | 'refusedUnread' | 'connectionClosing';

/** A request from its head until its response has closed. */
export class OpenRequest {
	id = '';
	/** True once head and body have been read completely. */
	isWhole = false;
	answer: CallerAnswer | undefined;
	/** Undefined until the request has ended. */
	outcome: RequestOutcome | undefined;
	/** True when the answer was broken off because its upstream had broken off, or at the deadline. */
	isCutByUpstream = false;
}
