/*
Adds Promise.withResolvers where the runtime lacks it: the hosts of the operator's platform have Node.js 20, which takes less
memory than the Node.js 24 of the executable. Imported before all other modules.
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
