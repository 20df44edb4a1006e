import type {ServerResponse} from 'node:http';
import type {Metrics} from './metrics.ts';

/** Dependencies of the operational routes. */
export type OperationalRoutesOptions = {
	readonly metrics: Metrics;
	/** True while the daemon accepts requests. */
	readonly isReady: () => boolean;
};

const paths: ReadonlySet<string> = new Set(['/healthz', '/readyz', '/metrics']);

/** True for the paths that `serveOperationalRoute` serves. */
export function isOperationalRoute(url: string): boolean {
	return paths.has(url);
}

/** Serves `/healthz`, `/readyz` and `/metrics`; returns false for any other path. */
export async function serveOperationalRoute(url: string, response: ServerResponse, options: OperationalRoutesOptions): Promise<boolean> {
	switch (url) {
		case '/healthz': {
			response.end('ok\n');
			return true;
		}

		case '/readyz': {
			response.statusCode = options.isReady() ? 200 : 503;
			response.end();
			return true;
		}

		case '/metrics': {
			const {contentType, text} = await options.metrics.format();
			response.setHeader('content-type', contentType);
			response.end(text);
			return true;
		}

		default: {
			return false;
		}
	}
}
