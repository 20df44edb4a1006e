import {Left, Right, type Either} from 'purify-ts';
import {z} from 'zod';
import {createRefusal, type CallerError} from './caller-error.ts';

/** Model or service that a request addresses, resolved from its method, path and body. */
export type Call
	= | {
		readonly kind: 'model';
		readonly model: string;
		readonly path: string;
		readonly stream: boolean;
		/** Messages of a chat as the caller sent them; undefined for other prompts. */
		readonly messages?: readonly unknown[];
	}
	| {readonly kind: 'service'; readonly service: string; readonly path: string};

const modelPaths: ReadonlySet<string> = new Set(['/v1/chat/completions', '/v1/completions']);
const servicePathPattern = /^\/services\/(?<service>[\w.\-]+)(?<path>\/[^?]*(?:\?.*)?)?$/v;
const serviceMethods: ReadonlySet<string> = new Set(['DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT']);
const idempotentMethods: ReadonlySet<string> = new Set(['DELETE', 'GET', 'HEAD', 'OPTIONS', 'PUT']);

/** Path segments that a service may normalise, so that it handles another path than the one matched against a contract's routes. */
const ambiguousSegmentPattern = /^(?:\.|%2e){0,2}$|%2f|%5c|%00|\\/iv;

const modelBodySchema = z.looseObject({
	model: z.string().min(1),
	stream: z.boolean().optional(),
	messages: z.unknown().optional(),
});

/** Resolves the call of a request; refuses a path or body that cannot be served. */
export function resolveCall(method: string, url: string, body: Uint8Array): Either<CallerError, Call> {
	const service = servicePathPattern.exec(url)?.groups;
	if (service?.service !== undefined) {
		return resolveServiceCall(method, service.service, service.path ?? '/');
	}

	const [path = '/'] = url.split('?');
	const refusal = findModelPathRefusal(method, path);
	if (refusal !== undefined) {
		return Left(refusal);
	}

	return parseModelBody(body).map(value => ({
		kind: 'model', model: value.model, path, stream: value.stream ?? false, ...(Array.isArray(value.messages) ? {messages: value.messages as readonly unknown[]} : {}),
	}));
}

/** Returns the refusal of a request whose method and path cannot be served with any body. */
export function findPathRefusal(method: string, url: string): CallerError | undefined {
	const service = servicePathPattern.exec(url)?.groups;
	if (service?.service === undefined) {
		return findModelPathRefusal(method, url.split('?')[0]!);
	}

	return resolveServiceCall(method, service.service, service.path ?? '/').swap().toMaybe().extract();
}

/** True when a call may safely run twice; a contract may restrict this further. */
export function isRepeatableCall(method: string, call: Call): boolean {
	return call.kind === 'model' || idempotentMethods.has(method);
}

function findModelPathRefusal(method: string, path: string): CallerError | undefined {
	if (!modelPaths.has(path)) {
		return createRefusal(404, 'path_not_found', 'There is nothing at this path.');
	}

	return method === 'POST' ? undefined : createRefusal(405, 'method_not_allowed', `${path} takes POST.`);
}

function resolveServiceCall(method: string, service: string, path: string): Either<CallerError, Call> {
	if (!serviceMethods.has(method)) {
		return Left(createRefusal(405, 'method_not_allowed', 'Services do not take this method.'));
	}

	const [, ...segments] = path.split('?', 1)[0]!.split('/');
	// An empty last segment stands for a trailing slash.
	const checked = segments.at(-1) === '' ? segments.slice(0, -1) : segments;
	return checked.some(segment => ambiguousSegmentPattern.test(segment))
		? Left(createRefusal(400, 'invalid_path', 'The path has an empty, "." or ".." segment or an encoded separator.'))
		: Right({kind: 'service', service, path});
}

function parseModelBody(body: Uint8Array): Either<CallerError, z.infer<typeof modelBodySchema>> {
	try {
		const result = modelBodySchema.safeParse(JSON.parse(new TextDecoder('utf-8', {fatal: true}).decode(body)));
		return result.success
			? Right(result.data)
			: Left(createRefusal(400, 'invalid_body', `The body is not a completion request: ${z.prettifyError(result.error)}`));
	} catch {
		return Left(createRefusal(400, 'invalid_json', 'The body is not valid JSON in UTF-8.'));
	}
}
