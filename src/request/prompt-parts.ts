import {createHash} from 'node:crypto';
import type {Call} from './call.ts';

/** Messages of a chat that are followed in the search for ones that crash upstreams; bounds the work and the memory for long chats. */
const maxMessages = 32;
/** Characters of a key; 96 bits. */
const keyLength = 16;

/** Computes a key of each message of a chat; the same message has the same key in all chats of a customer with a model, wherever it stands. */
export function identifyMessages(customer: string, call: Call): readonly string[] {
	if (call.kind !== 'model' || call.messages === undefined) {
		return [];
	}

	const keys = call.messages.slice(0, maxMessages).map(message =>
		createHash('sha256').update(JSON.stringify([customer, call.model, message])).digest('base64url').slice(0, keyLength));
	return [...new Set(keys)];
}
