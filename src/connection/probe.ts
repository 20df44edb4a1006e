import {buildConnector, Client, type Dispatcher} from 'undici';
import {guardConnections} from './answer-guard.ts';
import {newConnectionTimeoutMs} from './silence.ts';

/** Outcome of a health probe; `silent` covers every failure to answer. */
export type ProbeResult = 'healthy' | 'leaving' | 'unhealthy' | 'silent';

/** Timeout for the answer to a probe over a new connection. */
const probeTimeoutMs = newConnectionTimeoutMs;

const leavingHeader = 'wagtailtack-leaving';

/** True when an answer states that the upstream is leaving and takes no new work. */
export function isLeavingAnswer(statusCode: number, headers: Readonly<Record<string, unknown>>): boolean {
	return statusCode === 503 && String(headers[leavingHeader]).toLowerCase() === 'true';
}

/** Probes the health of an upstream over a new connection; never rejects. */
export async function probeUpstream(origin: string): Promise<ProbeResult> {
	const client = new Client(origin, {connect: guardConnections(buildConnector({timeout: probeTimeoutMs}))});
	try {
		return await probeOver(client);
	} finally {
		await client.destroy();
	}
}

/** Probes the health of an upstream over the given connection; never rejects. */
export async function probeOver(dispatcher: Dispatcher, timeoutMs = probeTimeoutMs): Promise<ProbeResult> {
	try {
		const response = await dispatcher.request({
			method: 'GET', path: '/healthz', signal: AbortSignal.timeout(timeoutMs),
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
