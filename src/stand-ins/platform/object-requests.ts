import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ObjectCondition, ObjectStore} from '../../ports/object-store.ts';

/** URL path prefix of the object store. */
export const objectPath = '/objects/';

/** Serves one request to the object store. */
export async function serveObject(
	store: ObjectStore,
	request: IncomingMessage,
	response: ServerResponse,
): Promise<void> {
	const name = decodeURIComponent((request.url ?? '').slice(objectPath.length));
	const {method = ''} = request;
	switch (method) {
		case 'GET': {
			const read = await store.get(name);
			const object = read.unsafeCoerce();
			response.writeHead(object === undefined ? 404 : 200, object === undefined ? {} : {etag: object.etag});
			response.end(object?.body);
			return;
		}

		case 'PUT': {
			const written = await store.put(name, await readBytes(request), parseCondition(request));
			written.caseOf({
				Left() {
					response.writeHead(412).end();
				},
				Right(etag) {
					response.writeHead(200, {etag}).end();
				},
			});
			return;
		}

		case 'DELETE': {
			await store.delete(name);
			response.writeHead(204).end();
			return;
		}

		default: {
			response.writeHead(405).end();
		}
	}
}

function parseCondition(request: IncomingMessage): ObjectCondition | undefined {
	if (request.headers['if-none-match'] === '*') {
		return 'absent';
	}

	const etag = request.headers['if-match'];
	return etag === undefined ? undefined : {etag};
}

async function readBytes(request: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}
