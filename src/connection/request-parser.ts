import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** Slots of the callbacks of the HTTP parser, by its own numbers: head, body and end of a message. */
const callbackSlots = [2, 3, 4] as const;

type Parser = Record<number, unknown>;

/**
Stops the HTTP parser of a connection that is about to close from reporting what it still reads.

Up to 64 KiB have been read at once, and each piece of a body and each request in them would be reported separately. Parsers are
used again by other connections, so the callbacks return when the connection closes.
*/
export function muteParser(request: IncomingMessage): void {
	const {socket} = request;
	const {parser} = socket as Socket & {readonly parser?: Parser};
	if (socket.destroyed || parser === undefined || parser === null) {
		return;
	}

	const callbacks = callbackSlots.map(slot => [slot, parser[slot]] as const);
	if (callbacks.some(([, callback]) => typeof callback !== 'function')) {
		return;
	}

	for (const slot of callbackSlots) {
		parser[slot] = undefined;
	}

	socket.prependOnceListener('close', () => {
		for (const [slot, callback] of callbacks) {
			parser[slot] = callback;
		}
	});
}
