import type {CrashingRequest} from '../../generated/peer_pb.js';
import type {NewsItem} from '../membership/news-queue.ts';
import type {CrashNews} from './crash-attribution.ts';

/** Encodes crash news as a news item for peers. */
export function encodeCrashNews(news: CrashNews): NewsItem {
	const {fingerprint} = news;
	switch (news.kind) {
		case 'suspected': {
			const {upstream, ageMs} = news;
			return {
				case: 'crashingRequest', value: {
					fingerprint, crashes: 1, upstream, ageMs: BigInt(ageMs),
				},
			};
		}

		case 'condemned': {
			return {case: 'crashingRequest', value: {fingerprint, crashes: 2, refusedForMs: BigInt(Math.ceil(news.refusedForMs))}};
		}

		case 'cleared': {
			return {case: 'crashingRequest', value: {fingerprint, crashes: 0}};
		}
	}
}

/** Decodes a news item of a peer; an upstream marks a suspected request, a refusal time a condemned one. */
export function decodeCrashNews({fingerprint, refusedForMs, upstream, ageMs}: CrashingRequest): CrashNews {
	if (upstream !== '') {
		return {
			kind: 'suspected', fingerprint, upstream, ageMs: Number(ageMs),
		};
	}

	return refusedForMs > 0n
		? {kind: 'condemned', fingerprint, refusedForMs: Number(refusedForMs)}
		: {kind: 'cleared', fingerprint};
}
