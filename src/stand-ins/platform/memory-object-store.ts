import {createHash} from 'node:crypto';
import {Left, Right, type Either} from 'purify-ts';
import {
	ObjectStore, type ObjectCondition, type ObjectFailure, type StoredObject,
} from '../../ports/object-store.ts';

/** In-memory object store with the semantics of the platform's object store. */
export class MemoryObjectStore extends ObjectStore {
	readonly #objects = new Map<string, StoredObject>();

	async get(name: string): Promise<Either<ObjectFailure, StoredObject | undefined>> {
		return Right(this.#objects.get(name));
	}

	async put(name: string, body: Uint8Array, condition?: ObjectCondition): Promise<Either<ObjectFailure, string>> {
		const current = this.#objects.get(name);
		if (condition !== undefined && current?.etag !== (condition === 'absent' ? undefined : condition.etag)) {
			return Left({kind: 'conflict', name});
		}

		const etag = `"${createHash('sha256').update(body).digest('hex').slice(0, 32)}"`;
		this.#objects.set(name, {etag, body});
		return Right(etag);
	}

	async delete(name: string): Promise<Either<ObjectFailure, void>> {
		this.#objects.delete(name);
		return Right(undefined);
	}
}
