import process from 'node:process';
/** Resolves at the first SIGTERM or SIGINT; later signals have no effect, so they cannot cut a drain short. */
export async function waitForTermination(): Promise<void> {
	const {promise, resolve} = Promise.withResolvers<void>();
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			resolve();
		});
	}

	await promise;
}
