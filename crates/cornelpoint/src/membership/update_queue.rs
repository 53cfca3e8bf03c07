use std::collections::VecDeque;

use super::member::Member;
use crate::name::InstanceId;

/// Most updates that wait to be sent.
const MAX_QUEUED_UPDATES: usize = 256;

#[derive(Clone, Debug)]
struct QueuedUpdate {
    member: Member,
    transmissions_left: u32,
}

/// Updates that still have to be sent, those sent least often first.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateQueue {
    items: VecDeque<QueuedUpdate>,
}

impl UpdateQueue {
    pub(super) fn add(&mut self, member: Member, transmissions: u32) {
        self.items
            .retain(|item| item.member.instance != member.instance);
        if self.items.len() == MAX_QUEUED_UPDATES {
            self.items.pop_back();
        }
        self.items.push_front(QueuedUpdate {
            member,
            transmissions_left: transmissions,
        });
    }

    pub(super) fn take(&mut self, count: usize, except: Option<&InstanceId>) -> Vec<Member> {
        let mut taken = Vec::new();
        for _ in 0..self.items.len() {
            let Some(mut item) = self.items.pop_front() else {
                break;
            };
            let wanted = taken.len() < count && except != Some(&item.member.instance);
            if wanted {
                taken.push(item.member.clone());
                item.transmissions_left -= 1;
            }
            if item.transmissions_left > 0 {
                self.items.push_back(item);
            }
        }
        taken
    }
}
