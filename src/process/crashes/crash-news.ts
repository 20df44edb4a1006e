import type {CrashingRequest} from '../../generated/peer_pb.js';
import type {NewsItem} from '../membership/news-queue.ts';
import type {CrashNews} from './crash-attribution.ts';

/** Encodes crash news as a news item for peers. */
export function encodeCrashNews(news: CrashNews): NewsItem {
	switch (news.kind) {
		case 'suspected': {
			const {fingerprint, promptParts, upstream, ageMs} = news;
			return {
				case: 'crashingRequest', value: {
					fingerprint, promptParts: [...promptParts], crashes: 1, upstream, ageMs: BigInt(ageMs),
				},
			};
		}

		case 'condemned': {
			return {case: 'crashingRequest', value: {fingerprint: news.fingerprint, crashes: 2, refusedForMs: BigInt(Math.ceil(news.refusedForMs))}};
		}

		case 'cleared': {
			return {case: 'crashingRequest', value: {fingerprint: news.fingerprint, crashes: 0}};
		}

		case 'partsCondemned': {
			const {promptParts, refusedForMs, firstCrashAgeMs} = news;
			return {
				case: 'crashingRequest', value: {
					promptParts: [...promptParts], crashes: 2, refusedForMs: BigInt(Math.ceil(refusedForMs)), ageMs: BigInt(firstCrashAgeMs),
				},
			};
		}

		case 'partsCleared': {
			return {case: 'crashingRequest', value: {promptParts: [...news.promptParts], crashes: 0}};
		}
	}
}

/** Decodes a news item of a peer; an upstream marks a suspected request, a refusal time what is condemned, and a missing fingerprint news about parts. */
export function decodeCrashNews({fingerprint, promptParts, refusedForMs, upstream, ageMs}: CrashingRequest): CrashNews {
	if (upstream !== '') {
		return {
			kind: 'suspected', fingerprint, promptParts, upstream, ageMs: Number(ageMs),
		};
	}

	const isRefused = refusedForMs > 0n;
	if (fingerprint === '') {
		return isRefused
			? {
				kind: 'partsCondemned', promptParts, refusedForMs: Number(refusedForMs), firstCrashAgeMs: Number(ageMs),
			}
			: {kind: 'partsCleared', promptParts};
	}

	return isRefused ? {kind: 'condemned', fingerprint, refusedForMs: Number(refusedForMs)} : {kind: 'cleared', fingerprint};
}
