import {Client, type Dispatcher} from 'undici';

/** Outcome of a probe; `silent` stands for every failure to answer. */
export type ProbeResult = 'healthy' | 'leaving' | 'unhealthy' | 'silent';

/** Time within which an upstream answers a probe. */
export const probeTimeoutMs = 1000;

const leavingHeader = 'wagtailtack-leaving';

/** True when an answer says that the upstream takes no new work. */
export function isLeavingAnswer(statusCode: number, headers: Readonly<Record<string, unknown>>): boolean {
	return statusCode === 503 && String(headers[leavingHeader]).toLowerCase() === 'true';
}

/** Asks an upstream for its health over a connection of its own; never rejects. */
export async function probeUpstream(origin: string): Promise<ProbeResult> {
	const client = new Client(origin, {connectTimeout: probeTimeoutMs});
	try {
		return await probeOver(client);
	} finally {
		await client.destroy();
	}
}

/** Asks an upstream for its health over a given connection; never rejects. */
export async function probeOver(dispatcher: Dispatcher): Promise<ProbeResult> {
	try {
		const response = await dispatcher.request({
			method: 'GET', path: '/healthz', signal: AbortSignal.timeout(probeTimeoutMs),
		});
		await response.body.dump();
		if (isLeavingAnswer(response.statusCode, response.headers)) {
			return 'leaving';
		}

		return response.statusCode < 300 ? 'healthy' : 'unhealthy';
	} catch {
		return 'silent';
	}
}
