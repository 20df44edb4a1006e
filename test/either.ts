import type {Either} from 'purify-ts';

/** Resolves with the value or the failure of a call. */
export async function extract<Failure, Value>(call: Promise<Either<Failure, Value>>): Promise<Failure | Value> {
	const result = await call;
	return result.extract();
}

/** Resolves with the value of a call that must succeed. */
export async function succeed<Failure, Value>(call: Promise<Either<Failure, Value>>): Promise<Value> {
	const result = await call;
	return result.caseOf({
		Left(failure) {
			throw new Error(`unexpected failure: ${JSON.stringify(failure)}`);
		},
		Right: value => value,
	});
}
