"""One function for each step that a scenario may have; the keys beside `do` are its arguments."""
from .consensus import ConsensusSteps
from .discovery import DiscoverySteps
from .inspection import InspectionSteps
from .kv_store import KvStoreSteps
from .late_calls import LateCallSteps
from .leases import LeasesSteps
from .links import LinksSteps
from .membership import MembershipSteps
from .processes import ProcessesSteps
from .purges import PurgeSteps
from .recovery import RecoverySteps
from .releases import ReleasesSteps


class Steps(ConsensusSteps, DiscoverySteps, InspectionSteps, KvStoreSteps, LateCallSteps, LeasesSteps, LinksSteps, MembershipSteps, ProcessesSteps, PurgeSteps, RecoverySteps,
            ReleasesSteps):
    """All steps of a scenario."""
