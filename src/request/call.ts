import {Left, Right, type Either} from 'purify-ts';
import {z} from 'zod';
import {createRefusal, type CallerError} from './caller-error.ts';

/** What a caller asks for, resolved from method, path and body. */
export type Call
	= | {readonly kind: 'model'; readonly model: string; readonly path: string; readonly stream: boolean}
		| {readonly kind: 'service'; readonly service: string; readonly path: string};

const modelPaths = new Set(['/v1/chat/completions', '/v1/completions']);
const servicePath = /^\/services\/(?<service>[\w.\-]+)(?<path>\/[^?]*(?:\?.*)?)?$/v;

const modelBody = z.looseObject({
	model: z.string().min(1),
	stream: z.boolean().optional(),
});

/** Resolves a call; a path or body that cannot be served is refused. */
export function resolveCall(method: string, url: string, body: Uint8Array): Either<CallerError, Call> {
	const service = servicePath.exec(url)?.groups;
	if (service?.service !== undefined) {
		return Right({kind: 'service', service: service.service, path: service.path ?? '/'});
	}

	const [path = '/'] = url.split('?');
	if (!modelPaths.has(path)) {
		return Left(createRefusal(404, 'path_not_found', `There is nothing at ${path}.`));
	}

	if (method !== 'POST') {
		return Left(createRefusal(405, 'method_not_allowed', `${path} takes POST.`));
	}

	return parseModelBody(body).map(value => ({
		kind: 'model', model: value.model, path, stream: value.stream ?? false,
	}));
}

function parseModelBody(body: Uint8Array): Either<CallerError, z.infer<typeof modelBody>> {
	try {
		const result = modelBody.safeParse(JSON.parse(new TextDecoder().decode(body)));
		return result.success
			? Right(result.data)
			: Left(createRefusal(400, 'invalid_body', `The body is not a completion request: ${z.prettifyError(result.error)}`));
	} catch {
		return Left(createRefusal(400, 'invalid_json', 'The body is not valid JSON.'));
	}
}
