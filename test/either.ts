import type {Either} from 'purify-ts';

/** Resolves with the value or the failure that a call returned. */
export async function extract<Failure, Value>(call: Promise<Either<Failure, Value>>): Promise<Failure | Value> {
	const result = await call;
	return result.extract();
}

/** Resolves with the value of a call; throws if the call failed. */
export async function succeed<Failure, Value>(call: Promise<Either<Failure, Value>>): Promise<Value> {
	const result = await call;
	return result.caseOf({
		Left(failure) {
			throw new Error(`unexpected failure: ${JSON.stringify(failure)}`);
		},
		Right: value => value,
	});
}
