/** Chooses the peers to contact in a period: mostly in the own region, because traffic between regions is slow and costs money. */
import type {Random} from '../../base/common/random.js';
import type {Member} from './membership.js';

/** Share of contacts that go to another region while the own region has members. */
const OTHER_REGION_SHARE = 0.15;

function pickOne(candidates: readonly Member[], random: Random): Member | undefined {
	return candidates[Math.floor(random() * candidates.length)];
}

/** Chooses up to `count` different members. While all regions have members left, each is from the own region with probability `1 - OTHER_REGION_SHARE`. */
export function choosePeers(candidates: readonly Member[], isSameRegion: (member: Member) => boolean, count: number, random: Random): readonly Member[] {
	return Array.from({length: count}).reduce<readonly Member[]>(chosen => {
		const remaining = candidates.filter(candidate => !chosen.includes(candidate));
		const sameRegion = remaining.filter(isSameRegion);
		const otherRegions = remaining.filter(candidate => !isSameRegion(candidate));
		const prefersOtherRegion = random() < OTHER_REGION_SHARE;
		const preferred = (prefersOtherRegion && otherRegions.length > 0) || sameRegion.length === 0 ? otherRegions : sameRegion;
		const picked = pickOne(preferred, random);
		return picked ? [...chosen, picked] : chosen;
	}, []);
}
