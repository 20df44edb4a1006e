import {Agent} from 'undici';

/** Limit on connecting to an upstream in the same deployment. */
const connectTimeoutMs = 1000;

/** Idle connections are closed before engines close them (2 s), so that no request meets a closing connection. */
const idleTimeoutMs = 1500;
const tcpKeepAliveDelayMs = 5000;
const answerHeadLimitBytes = 64 * 1024;

/** Creates the client for upstreams: one request at a time on each connection, and no retries of its own. */
export function createUpstreamClient(): Agent {
	return new Agent({
		pipelining: 1,
		connect: {timeout: connectTimeoutMs, keepAlive: true, keepAliveInitialDelay: tcpKeepAliveDelayMs},
		keepAliveTimeout: idleTimeoutMs,
		keepAliveMaxTimeout: idleTimeoutMs,
		maxHeaderSize: answerHeadLimitBytes,
	});
}
