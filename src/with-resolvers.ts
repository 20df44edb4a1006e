/*
Polyfill for Promise.withResolvers. The hosts of the operator's platform run the daemon on Node.js 20, which lacks it but uses less
memory than the Node.js 24 of the executable. Must be imported before all other modules.
*/

Promise.withResolvers ??= function <Value>(this: PromiseConstructor) {
	let resolve!: (value: Value | PromiseLike<Value>) => void;
	let reject!: (reason?: unknown) => void;
	const promise = new Promise<Value>((resolvePromise, rejectPromise) => {
		resolve = resolvePromise;
		reject = rejectPromise;
	});
	return {promise, resolve, reject};
};
