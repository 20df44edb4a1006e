import type {ServerResponse} from 'node:http';
import type {Metrics} from './metrics.ts';

/** What the operational routes report. */
export type OperationalRoutesOptions = {
	readonly metrics: Metrics;
	/** True while the daemon takes requests. */
	readonly isReady: () => boolean;
};

/** Answers `/healthz`, `/readyz` and `/metrics`; false when the path is another one. */
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
